// This file tells when bytes arrived at a socket, by the kernel's clock. The goroutines of a busy machine may read
// what arrived at two sockets in the other order, and late.

package realtime

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// recordArrivals makes the kernel tell when bytes arrived at a connection.
func recordArrivals(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) { failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	return errors.Join(err, os.NewSyscallError("setsockopt", failure))
}

// timespecSize is the size of the kernel's time of arrival: seconds and nanoseconds.
const timespecSize = 16

// readArrived reads as conn.Read does, and tells when the last of the bytes arrived; the time is zero if the
// kernel does not tell.
func readArrived(conn *net.TCPConn, p []byte) (n int, arrivedAt time.Time, err error) {
	if len(p) == 0 {
		return 0, time.Time{}, nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, time.Time{}, err
	}
	control := make([]byte, unix.CmsgSpace(timespecSize))
	controlBytes := 0
	var failure error
	err = raw.Read(func(fd uintptr) bool {
		for {
			n, controlBytes, _, _, failure = unix.Recvmsg(int(fd), p, control, 0)
			if !errors.Is(failure, unix.EINTR) {
				return !errors.Is(failure, unix.EAGAIN)
			}
		}
	})
	switch {
	case err != nil:
		return 0, time.Time{}, err
	case failure != nil:
		return 0, time.Time{}, &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: os.NewSyscallError("recvmsg", failure)}
	case n == 0:
		return 0, time.Time{}, io.EOF
	}
	return n, arrivalTime(control[:controlBytes]), nil
}

// arrivalTime decodes the time in the control messages of a read.
func arrivalTime(control []byte) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return time.Time{}
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= timespecSize {
			return time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[8:])))
		}
	}
	return time.Time{}
}
