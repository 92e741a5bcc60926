package httpstrict

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestTransport guards against responses that are passed on, or whose body is read in another way than it was sent, although they are
// none, and against sound ones that are refused.
func TestTransport(t *testing.T) {
	const length = "Content-Length: 4\r\n"
	for _, c := range []struct {
		name, text string
		valid      bool
	}{
		{"usual", "HTTP/1.1 200 OK\r\n" + length + "\r\nbody", true},
		{"no reason", "HTTP/1.1 200\r\n" + length + "\r\nbody", true},
		{"version 1.0", "HTTP/1.0 200 OK\r\n" + length + "\r\nbody", true},
		{"only line feeds", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", true},
		{"continued line", "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n" + length + "\r\nbody", true},
		{"all token characters", "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9: 1\r\n" + length + "\r\nbody", true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		{"interim", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\nbody", true},
		{"highest status", "HTTP/1.1 599 Odd\r\n" + length + "\r\nbody", true},
		{"reason in UTF-8", "HTTP/1.1 200 gr\u00fc\u00df\r\n" + length + "\r\nbody", true},
		{"000", "HTTP/1.1 000 None\r\n" + length + "\r\nbody", false},
		{"099", "HTTP/1.1 099 Odd\r\n" + length + "\r\nbody", false},
		{"+20", "HTTP/1.1 +20 Odd\r\n" + length + "\r\nbody", false},
		{"600", "HTTP/1.1 600 Odd\r\n" + length + "\r\nbody", false},
		{"999", "HTTP/1.1 999 Odd\r\n" + length + "\r\nbody", false},
		{"101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\nConnection: Upgrade\r\n\r\nbody", false},
		{"version 2", "HTTP/2.0 200 OK\r\n" + length + "\r\nbody", false},
		{"version 0", "HTTP/0.9 200 OK\r\n" + length + "\r\nbody", false},
		{"control in the reason", "HTTP/1.1 200 O\x01K\r\n" + length + "\r\nbody", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + length + "\r\nbody", false},
		{"blank before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", false},
		{"blank in the length", "HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\nbody", false},
		{"blank in the encoding", "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"control in a name", "HTTP/1.1 200 OK\r\nX-O\x01dd: 1\r\n" + length + "\r\nbody", false},
		{"control in a value", "HTTP/1.1 200 OK\r\nX-Odd: \x001\r\n" + length + "\r\nbody", false},
		{"no name", "HTTP/1.1 200 OK\r\n: 1\r\n" + length + "\r\nbody", false},
		{"separator in a name", "HTTP/1.1 200 OK\r\nX(Odd): 1\r\n" + length + "\r\nbody", false},
		{"two lengths", "HTTP/1.1 200 OK\r\n" + length + "Content-Length: 3\r\n\r\nbody", false},
		{"length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody", false},
		{"interim with a blank in a name", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\nbody", false},
		{"interim status below 100", "HTTP/1.1 050 Odd\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\nbody", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := conn.Read(make([]byte, 4096)); err == nil {
					_, _ = io.WriteString(conn, c.text)
				}
			}()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			base := &http.Transport{DisableKeepAlives: true}
			resp, err := Transport(base).RoundTrip(req)
			if err != nil {
				if c.valid {
					t.Errorf("refused: %v", err)
				}
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if !c.valid {
				t.Errorf("accepted with status %d and body %q", resp.StatusCode, body)
			}
			if err != nil || string(body) != "body" {
				t.Errorf("body %q: %v", body, err)
			}
		})
	}
}

// TestCheckNamesWhatIsInvalid guards against errors by which nobody can tell what was wrong, or that quote a whole response.
func TestCheckNamesWhatIsInvalid(t *testing.T) {
	resp := &http.Response{ProtoMajor: 1, StatusCode: 200, Status: "200 OK", Header: http.Header{string(make([]byte, 10_000)): {"1"}}}
	err := Check(resp)
	if !errors.Is(err, ErrInvalid) || len(err.Error()) > 400 {
		t.Errorf("%.500v", err)
	}
}
