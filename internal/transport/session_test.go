package transport

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"weldmast/internal/dispatch"
	"weldmast/internal/node"
	"weldmast/internal/settings"
)

// FuzzRequestsAcrossHandOver guards against bytes of a client's stream that are lost or read twice when the
// connection goes to another process after any request: the requests that come out are those that went in,
// wherever the stream is cut and whatever of it was read ahead.
func FuzzRequestsAcrossHandOver(f *testing.F) {
	f.Add([]byte{0}, []byte{0, 4, 0}, byte(0))
	f.Add([]byte{1, 200, 3}, []byte{255, 0, 255}, byte(1))
	f.Add([]byte{16, 15, 17}, []byte{64, 63, 65, 1}, byte(2))
	f.Add([]byte{255}, []byte{16, 17, 15, 200}, byte(3))
	f.Fuzz(func(t *testing.T, cuts, sizes []byte, handOverAfter byte) {
		sizes = sizes[:min(len(sizes), 4)]
		var stream strings.Builder
		var want []string
		for k, size := range sizes {
			body := strings.Repeat("GET / HTTP/1.1\r\n\r\n", 256)[:int(size)*16]
			head := fmt.Sprintf("POST /plan/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %d\r\n", k)
			if size%2 == 0 {
				fmt.Fprintf(&stream, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			} else {
				fmt.Fprintf(&stream, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
			}
			want = append(want, fmt.Sprint(k, " ", body))
		}
		cc, client := connPair(t)
		cc.owner.names, cc.owner.expiries = settings.Names{Categories: []string{"plan"}}, []float64{5000}
		cc.owner.node = node.New(node.Options{Settings: dispatch.Settings{}})
		cc.owner.memory.setLimits(0)
		go func() {
			text := stream.String()
			for k := 0; len(text) > 0; k++ {
				n := len(text)
				if len(cuts) > 0 {
					n = min(n, 1+int(cuts[k%len(cuts)])*16)
				}
				io.WriteString(client, text[:n])
				text = text[n:]
			}
		}()
		s := &session{server: cc.owner, conn: cc}
		for k := range want {
			if !s.awaitRequest() {
				t.Fatalf("request %d did not come", k)
			}
			h, err := s.readHead()
			if err != nil || h.kind != jobKind {
				t.Fatalf("request %d: %v, kind %d", k, err, h.kind)
			}
			body, err := s.readJobBody(h)
			if got := h.job.ID + " " + string(body); err != nil || got != want[k] {
				t.Fatalf("request %d of %d: %q, %v", k, len(want), got, err)
			}
			cc.markServing()
			s.releaseBuffer(false)
			cc.watchClose(func() {})
			if k < len(cuts) && cuts[k]%2 == 0 {
				time.Sleep(time.Duration(cuts[k]%4) * 100 * time.Microsecond) // the watch reads some of what follows
			}
			cc.stopWatch()
			cc.markIdle()
			if k == int(handOverAfter) {
				s.unreadBuffer()
				cc = &clientConn{Conn: cc.Conn, owner: cc.owner, pipelined: cc.pipelined}
				s = &session{server: cc.owner, conn: cc}
			}
		}
	})
}
