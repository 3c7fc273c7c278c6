package soaker_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/soaker"
)

// waitBound bounds the waits of these tests.
const waitBound = 10 * time.Second

// The end of one impairment must not end another one of the same proxy.
func TestImpairmentsDoNotEndEachOther(t *testing.T) {
	is := is.New(t)
	p, err := soaker.NewProxy("127.0.0.1:0", "127.0.0.1:1", 1)
	is.NoErr(err)
	defer soaker.CloseProxy(p)
	first := soaker.Impair(p, soaker.Delayed)
	is.True(first != nil)
	is.True(soaker.Impair(p, soaker.Blocked) == nil)
	first()
	second := soaker.Impair(p, soaker.Blocked)
	is.True(second != nil)
	first()
	is.True(soaker.Impair(p, soaker.Delayed) == nil)
}

// listenAt listens at an address and returns the first line that arrives there.
func listenAt(t *testing.T, address string) (net.Listener, <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		line, _ := bufio.NewReader(conn).ReadString('\n')
		lines <- line
	}()
	return listener, lines
}

// A proxy that drops what was on its way hides orders that the next incarnation of a
// worker executes, also when the sender has given up.
func TestHeldOrderReachesNextIncarnation(t *testing.T) {
	is := is.New(t)
	first, lines := listenAt(t, "127.0.0.1:0")
	address := first.Addr().String()
	p, err := soaker.NewProxy("127.0.0.1:0", address, 1)
	is.NoErr(err)
	defer soaker.CloseProxy(p)
	send := func(line string) net.Conn {
		conn, err := net.Dial("tcp", soaker.ProxyAddress(p))
		is.NoErr(err)
		_, err = conn.Write([]byte(line))
		is.NoErr(err)
		return conn
	}
	opened := send("one\n")
	defer func() { _ = opened.Close() }()
	is.Equal(receive(t, lines), "one\n")

	restore := soaker.Impair(p, soaker.Blocked)
	is.NoErr(send("two\n").Close())
	is.NoErr(first.Close())
	// Nothing tells when the proxy has read the line.
	time.Sleep(50 * time.Millisecond)
	next, lines := listenAt(t, address)
	defer func() { _ = next.Close() }()
	restore()
	is.Equal(receive(t, lines), "two\n")
}

func receive(t *testing.T, lines <-chan string) string {
	t.Helper()
	select {
	case line := <-lines:
		return line
	case <-time.After(waitBound):
		t.Fatal("nothing arrived")
		return ""
	}
}
