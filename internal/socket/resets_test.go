package socket

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// pair returns both ends of a connection, the first of which was opened here.
func pair(t *testing.T) (opened net.Conn, accepted *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	opened, err = Dialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = opened.Close()
		_ = c.Close()
	})
	return opened, c.(*net.TCPConn)
}

// writeUntilError writes to a connection until it is lost.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 32<<10)); err != nil {
			return err
		}
	}
}

// TestResetSeenByWriteIsNoEnd guards against an answer that is taken for whole although its connection was reset, because a write
// took the error.
func TestResetSeenByWriteIsNoEnd(t *testing.T) {
	opened, accepted := pair(t)
	_, _ = accepted.Write([]byte("part"))
	_ = accepted.SetLinger(0)
	_ = accepted.Close()
	c := ReportResets(opened)
	if err := writeUntilError(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ends with %v, want ECONNRESET", err)
	}
	got, err := io.ReadAll(c)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q and %v, want ECONNRESET", got, err)
	}
}

// TestResetsBesideWrites guards against the same while the write is still in progress, or has not recorded its error yet.
func TestResetsBesideWrites(t *testing.T) {
	const part = "part of an answer"
	taken := 0
	for i := range 300 {
		opened, accepted := pair(t)
		c := ReportResets(opened)
		var ends sync.WaitGroup
		ends.Go(func() {
			_, _ = io.WriteString(accepted, part)
			_, _ = io.CopyN(io.Discard, accepted, int64(100_000+1000*(i%100)))
			_ = accepted.SetLinger(0)
			_ = accepted.Close()
		})
		var writeErr error
		ends.Go(func() { writeErr = writeUntilError(c) })
		got, err := io.ReadAll(c)
		if err == nil {
			t.Fatalf("run %d: %d bytes are read as whole", i, len(got))
		}
		ends.Wait()
		if errors.Is(writeErr, syscall.ECONNRESET) {
			taken++
		}
	}
	t.Logf("%d of 300 writes took the error", taken)
}

// TestEndsInOrder guards against sound answers that are taken for broken: the peer ends its stream in order and reads the rest of
// what is sent, or closes without reading it.
func TestEndsInOrder(t *testing.T) {
	for name, readsRest := range map[string]bool{"reads the rest": true, "closes": false} {
		t.Run(name, func(t *testing.T) {
			opened, accepted := pair(t)
			c := ReportResets(opened)
			want := bytes.Repeat([]byte("w"), 100_000)
			read := make(chan struct{})
			var ends sync.WaitGroup
			ends.Go(func() {
				_, _ = accepted.Write(want)
				_ = accepted.CloseWrite()
				if !readsRest {
					// The opened side has the end before the connection is closed with bytes unread.
					time.Sleep(50 * time.Millisecond)
					_ = accepted.Close()
				}
				<-read
				_ = accepted.Close()
			})
			if readsRest {
				ends.Go(func() { _, _ = io.Copy(io.Discard, accepted) })
			}
			ends.Go(func() { _ = writeUntilError(c) })
			if !readsRest {
				time.Sleep(100 * time.Millisecond)
			}
			got, err := io.ReadAll(c)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("read %d bytes and %v, want %d and the end", len(got), err, len(want))
			}
			close(read)
			_ = c.Close()
			ends.Wait()
		})
	}
}

// TestEndBesideBlockedWrite guards against a read that waits for a write which the peer, after the end of its own stream, lets
// wait.
func TestEndBesideBlockedWrite(t *testing.T) {
	opened, accepted := pair(t)
	c := ReportResets(opened)
	_, _ = io.WriteString(accepted, "whole")
	_ = accepted.CloseWrite()
	go func() { _ = writeUntilError(c) }()
	time.Sleep(50 * time.Millisecond)
	ended := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(c)
		ended <- err
	}()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the stream ends with %v", err)
		}
	case <-time.After(3 * time.Second):
		t.Error("the end is not read while the write waits")
	}
}

// TestTimeoutsDoNotEndConnections guards against a write that timed out, which says nothing about what is read.
func TestTimeoutsDoNotEndConnections(t *testing.T) {
	opened, accepted := pair(t)
	c := ReportResets(opened)
	_ = c.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
	if err := writeUntilError(c); err == nil {
		t.Fatal("no timeout")
	}
	_, _ = io.WriteString(accepted, "whole")
	_ = accepted.CloseWrite()
	if got, err := io.ReadAll(c); err != nil || string(got) != "whole" {
		t.Errorf("read %q and %v", got, err)
	}
}
