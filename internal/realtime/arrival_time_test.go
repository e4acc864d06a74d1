package realtime

import (
	"net"
	"testing"
	"time"
)

// TestArrivalOrder guards against a hand-off and an answer that count in the order in which a busy machine reads
// them: the kernel's times give the order in which they arrived.
func TestArrivalOrder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	open := func() (near, far *net.TCPConn) {
		a, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		b, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { a.Close(); b.Close() })
		near, far = a.(*net.TCPConn), b.(*net.TCPConn)
		if err := recordArrivals(near); err != nil {
			t.Fatal(err)
		}
		return near, far
	}
	first, firstFar := open()
	second, secondFar := open()
	buffer := make([]byte, 8)
	for known := false; !known; { // the kernel begins to record times a moment after it was told to
		if _, err := firstFar.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_, at, err := readArrived(first, buffer)
		if err != nil {
			t.Fatal(err)
		}
		known = !at.IsZero()
	}
	began := time.Now()
	for _, far := range []*net.TCPConn{firstFar, secondFar} {
		if _, err := far.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	_, secondAt, err := readArrived(second, buffer)
	if err != nil {
		t.Fatal(err)
	}
	_, firstAt, err := readArrived(first, buffer)
	if err != nil {
		t.Fatal(err)
	}
	if !firstAt.Before(secondAt) || firstAt.Before(began.Round(0).Add(-time.Millisecond)) {
		t.Errorf("first at %v, second at %v, written from %v on", firstAt, secondAt, began)
	}
	first.SetReadDeadline(time.Now())
	if _, _, err := readArrived(first, buffer); err == nil || !err.(net.Error).Timeout() {
		t.Errorf("a read beyond its deadline: %v", err)
	}
	firstFar.Close()
	first.SetReadDeadline(time.Time{})
	if n, _, err := readArrived(first, buffer); n != 0 || err == nil {
		t.Errorf("a read after the close: %d bytes, %v", n, err)
	}
}
