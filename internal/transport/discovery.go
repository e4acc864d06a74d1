// This file handles watches on discovery and the format of its lists. It must never open a watch by itself:
// the node requests each one, and is told when it ends or falls silent.

package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"weldmast/internal/dispatch"
	"weldmast/internal/node"
	"weldmast/internal/settings"
)

const (
	discoveryDialTimeout   = time.Second
	discoveryAnswerTimeout = 3 * time.Second
	// Where discovery only answers requests, calls wait in turn; a call that was given up still takes its turn.
	discoveryQueueTimeout = 15 * time.Second
	// A watch has fallen silent after this time without any line; an empty line (keep-alive) counts as one. A
	// change must be known within 6 s.
	discoverySilenceTimeout = 3 * time.Second
	maxListSize             = 8 << 20
	listPath                = "/v1/endpoints"
)

// DecodeDiscoveryUpdate decodes one list in discovery's format. It skips members that cannot be decoded.
func DecodeDiscoveryUpdate(text []byte, names settings.Names) (node.DiscoveryUpdate, error) {
	var in struct {
		Revision *int64
		Complete bool
		Members  []json.RawMessage
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return node.DiscoveryUpdate{}, err
	}
	if in.Revision == nil {
		return node.DiscoveryUpdate{}, errors.New("revision is missing")
	}
	l := node.DiscoveryUpdate{Revision: *in.Revision, Complete: in.Complete}
	for _, raw := range in.Members {
		m, err := decodeMember(raw, names)
		if err != nil {
			slog.Warn("bad", "bad", "member", "err", err)
			continue
		}
		l.Members = append(l.Members, m)
	}
	return l, nil
}

var memberStates = map[string]dispatch.WorkerState{"in_service": dispatch.Up, "terminating": dispatch.Draining,
	"terminated": dispatch.Gone}

// memberJSON is a member of a list as discovery encodes it.
type memberJSON struct {
	ID       string
	HostPort string `json:"host_port"`
	Locality string
	Flavor   string
	Cell     *int
	Phase    string
	UpSince  float64 `json:"up_since_ms"`
	Size     float64
}

func decodeMember(text []byte, names settings.Names) (m node.Member, err error) {
	var in memberJSON
	if err := json.Unmarshal(text, &in); err != nil {
		return m, err
	}
	state, ok := memberStates[in.Phase]
	if !ok || in.ID == "" {
		return m, fmt.Errorf("no id or unknown phase %q", in.Phase)
	}
	if _, err := netip.ParseAddrPort(in.HostPort); err != nil && state != dispatch.Gone {
		return m, fmt.Errorf("host_port: %w", err)
	}
	cell := dispatch.UnknownCell
	if in.Cell != nil && *in.Cell >= 0 {
		cell = *in.Cell
	}
	return node.Member{Addr: in.HostPort, Entry: dispatch.Entry{Worker: in.ID, State: state, Cell: cell,
		Zone: slices.Index(names.Zones, in.Locality), ZoneName: in.Locality, Kind: slices.Index(names.Kinds, in.Flavor),
		Since: in.UpSince, Weight: max(in.Size, 0)}}, nil
}

// discoveryClient holds the open watches on discovery.
type discoveryClient struct {
	ctx           context.Context
	node          *node.Node
	names         settings.Names
	running       *sync.WaitGroup
	answerTimeout time.Duration // a call must be answered within this time
	mu            sync.Mutex
	cancels       map[int]context.CancelFunc // of the open watches, by number
	onConnError   func(error)                // receives the reason why a call could not connect
}

func newDiscovery(ctx context.Context, n *node.Node, o Options, running *sync.WaitGroup) *discoveryClient {
	d := &discoveryClient{ctx: ctx, node: n, names: o.Names, running: running, answerTimeout: discoveryAnswerTimeout, cancels: map[int]context.CancelFunc{}, onConnError: func(error) {}}
	if o.DiscoveryOnRequest {
		d.answerTimeout = discoveryQueueTimeout
	}
	return d
}

// unwatch closes a watch.
func (d *discoveryClient) unwatch(number int) {
	d.mu.Lock()
	stop := d.cancels[number]
	delete(d.cancels, number)
	d.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (d *discoveryClient) watch(number int, addr string, after int64) {
	ctx, stop := context.WithCancel(d.ctx)
	d.mu.Lock()
	d.cancels[number] = stop
	d.mu.Unlock()
	d.running.Go(func() {
		err := d.run(ctx, number, addr, after)
		if ctx.Err() == nil {
			slog.Warn("watch", "watch", number, "discovery", addr, "err", err)
		}
		d.unwatch(number)
		d.node.Enqueue(node.WatchEnded{Watch: number})
	})
}

// errNoFullList: a watch without a revision did not begin with the complete list.
var errNoFullList = errors.New("the watch did not begin with a complete list")

// run passes on the updates of a watch until it ends, starting with the complete list if after is FullList.
// One call is enough for both, since a watch without a revision begins with the complete list. This guards
// against many dispatchers that start at once: with two calls each, they would need twice the bounded
// capacity of discovery. If the watch does not begin with the complete list, a separate call requests it.
func (d *discoveryClient) run(ctx context.Context, number int, addr string, after int64) error {
	if after == node.FullList {
		err := d.follow(ctx, number, addr, after)
		if !errors.Is(err, errNoFullList) {
			return err
		}
		err = d.call(ctx, addr, listPath, func(_ net.Conn, body io.Reader) error {
			text, err := io.ReadAll(io.LimitReader(body, maxListSize))
			if err != nil {
				return err
			}
			l, err := DecodeDiscoveryUpdate(text, d.names)
			if err != nil {
				return fmt.Errorf("invalid list: %w", err)
			}
			l.Watch, l.Complete, after = number, true, l.Revision
			d.node.Enqueue(l)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return d.follow(ctx, number, addr, after)
}

// truncatedJSON is the decoder's error for a list that may continue on the next line. A list that ends within
// a literal gives another error and cannot continue.
const truncatedJSON = "unexpected end of JSON input"

// follow passes on the updates of a watch until it ends.
func (d *discoveryClient) follow(ctx context.Context, number int, addr string, after int64) error {
	path := listPath + "?watch=1"
	if after != node.FullList {
		path += "&after=" + strconv.FormatInt(after, 10)
	}
	err := d.call(ctx, addr, path, func(conn net.Conn, body io.Reader) error {
		lines := bufio.NewScanner(body)
		lines.Buffer(nil, maxListSize)
		var text []byte // of a list that spans several lines
		for nothingYet := true; lines.Scan(); {
			line := lines.Bytes()
			if len(text) == 0 { // a list must be complete within the same time as an empty line
				conn.SetDeadline(time.Now().Add(discoverySilenceTimeout))
			}
			if blank := len(bytes.TrimSpace(line)) == 0; blank && len(text) > 0 {
				continue
			} else if blank {
				if nothingYet && after == node.FullList {
					return errNoFullList
				}
				if nothingYet { // discovery has answered: nothing has changed since
					d.node.Enqueue(node.DiscoveryUpdate{Watch: number, Revision: after})
				}
				nothingYet = false
				continue
			}
			firstLine := len(text) == 0
			if text = append(append(text, line...), '\n'); len(text) > maxListSize {
				return errors.New("invalid watch line: a list exceeds 8 MiB without an end")
			}
			if !firstLine && !bytes.HasSuffix(bytes.TrimSpace(line), []byte("}")) {
				continue
			}
			l, err := DecodeDiscoveryUpdate(text, d.names)
			var syntaxErr *json.SyntaxError
			if errors.As(err, &syntaxErr) && syntaxErr.Error() == truncatedJSON {
				continue
			}
			if err != nil { // its changes would be lost: ask again from the last list that was read
				return fmt.Errorf("invalid watch line: %w", err)
			}
			text = text[:0]
			conn.SetDeadline(time.Now().Add(discoverySilenceTimeout))
			if nothingYet && after == node.FullList && !l.Complete {
				return errNoFullList
			}
			nothingYet = false
			l.Watch = number
			d.node.Enqueue(l)
		}
		if lines.Err() != nil {
			return lines.Err()
		}
		return errors.New("discovery ended the watch")
	})
	var refused statusError
	if after == node.FullList && errors.As(err, &refused) && refused >= 400 && refused < 500 {
		return errNoFullList
	}
	return err
}

// statusError is an HTTP status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// call makes one request on a new connection and passes the body of the answer to handle.
func (d *discoveryClient) call(ctx context.Context, addr, path string, handle func(net.Conn, io.Reader) error) error {
	dialer := net.Dialer{Timeout: discoveryDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		d.onConnError(err)
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var q fasthttp.Request
	q.Header.SetRequestURI(path)
	q.Header.SetHost(addr)
	conn.SetDeadline(time.Now().Add(d.answerTimeout))
	if _, err = conn.Write(q.Header.AppendBytes(nil)); err != nil {
		return err
	}
	var r fasthttp.Response
	r.StreamBody = true
	if err = r.ReadLimitBody(bufio.NewReader(conn), 0); err != nil {
		return err
	}
	if r.StatusCode() != fasthttp.StatusOK {
		return statusError(r.StatusCode())
	}
	return handle(conn, r.BodyStream())
}
