//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// exchange is a request on a connection of a worker.
type exchange struct {
	conn net.Conn
	in   *bufio.Reader
	req  *http.Request
	body []byte
}

// gone reports whether the caller has closed the connection.
func (x *exchange) gone() bool {
	_ = x.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = x.conn.SetReadDeadline(time.Time{}) }()
	_, err := x.in.Peek(1)
	return err != nil && !isTimeout(err)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// serveRaw serves HTTP/1.1 on a listener, one request at a time on each connection. handle writes the answer
// itself and reports whether the connection is kept.
func serveRaw(l net.Listener, handle func(*exchange) (keep bool)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body, err := io.ReadAll(req.Body)
				if err != nil {
					return
				}
				if !handle(&exchange{conn: conn, in: in, req: req, body: body}) {
					return
				}
			}
		}()
	}
}

// answerBytes returns an answer with a length.
func answerBytes(status int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

func (x *exchange) write(data []byte) bool {
	_, err := x.conn.Write(data)
	return err == nil
}

// misdirected answers a request that names another worker, and reports whether it did.
func (x *exchange) misdirected(id string) bool {
	if expected := x.req.Header.Get("X-Expect-Instance"); expected == "" || expected == id {
		return false
	}
	x.write(answerBytes(http.StatusMisdirectedRequest, map[string]string{"X-Instance": id}, nil))
	return true
}
