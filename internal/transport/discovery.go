// This file owns the watch on discovery and the form of its lists. It must never open a watch by itself: the
// node asks for each one, and is told when it breaks or falls silent.

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
	discoveryDialTimeout    = time.Second
	discoveryAnswerTimeout  = 3 * time.Second
	discoveryQueueTimeout   = 15 * time.Second // where it tells only what it is asked for calls wait in turn; one given up still takes its turn
	discoverySilenceTimeout = 3 * time.Second  // an empty line is missing; what it tells counts as told after 6 s
	maxListSize             = 8 << 20
	listPath                = "/v1/endpoints"
)

// DecodeListing reads one list in discovery's form. A member that cannot be read is passed over.
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

// member is one member as it stands on the wire.
type memberJSON struct {
	ID       string
	HostPort string `json:"host_port"`
	Locality string
	Flavor   string
	Cell     int
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
	return node.Member{Addr: in.HostPort, Entry: dispatch.Entry{Worker: in.ID, State: state, Cell: in.Cell,
		Zone: slices.Index(names.Zones, in.Locality), Kind: slices.Index(names.Kinds, in.Flavor),
		Since: in.UpSince, Weight: max(in.Size, 0)}}, nil
}

type discoveryClient struct {
	ctx           context.Context
	node          *node.Node
	names         settings.Names
	running       *sync.WaitGroup
	answerTimeout time.Duration // a call's answer has come by then
	mu            sync.Mutex
	cancels       map[int]context.CancelFunc // of the open watches
	onConnError   func(error)                // told why a call's connection did not come up
}

func newDiscovery(ctx context.Context, n *node.Node, o Options, running *sync.WaitGroup) *discoveryClient {
	d := &discoveryClient{ctx: ctx, node: n, names: o.Names, running: running, answerTimeout: discoveryAnswerTimeout, cancels: map[int]context.CancelFunc{}, onConnError: func(error) {}}
	if o.DiscoveryOnRequest {
		d.answerTimeout = discoveryQueueTimeout
	}
	return d
}

// unwatch ends a watch.
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

// errNotWhole: a watch that was asked for without a revision did not begin with the whole list.
var errNoFullList = errors.New("no whole list came first")

// read brings what discovery tells until it breaks: the whole list first, where that is asked for. One call brings
// both, as a watch that names no revision begins with the whole list: many dispatchers that start at once would ask a
// discovery of bounded capacity for twice as much. Where that is not so, the list is asked for by itself.
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
				return fmt.Errorf("bad list: %w", err)
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

// moreToCome is what the decoder says of a list that may go on with the next line; one that ends within a word may not.
const truncatedJSON = "unexpected end of JSON input"

// follow brings what a watch tells until it breaks.
func (d *discoveryClient) follow(ctx context.Context, number int, addr string, after int64) error {
	path := listPath + "?watch=1"
	if after != node.FullList {
		path += "&after=" + strconv.FormatInt(after, 10)
	}
	err := d.call(ctx, addr, path, func(conn net.Conn, body io.Reader) error {
		lines := bufio.NewScanner(body)
		lines.Buffer(nil, maxListSize)
		var text []byte // of a list that goes on over several lines
		for nothingYet := true; lines.Scan(); {
			line := lines.Bytes()
			if len(text) == 0 { // a list has the same time whole as an empty line
				conn.SetDeadline(time.Now().Add(discoverySilenceTimeout))
			}
			if blank := len(bytes.TrimSpace(line)) == 0; blank && len(text) > 0 {
				continue
			} else if blank {
				if nothingYet && after == node.FullList {
					return errNoFullList
				}
				if nothingYet { // it speaks: nothing has changed since
					d.node.Enqueue(node.DiscoveryUpdate{Watch: number, Revision: after})
				}
				nothingYet = false
				continue
			}
			firstLine := len(text) == 0
			if text = append(append(text, line...), '\n'); len(text) > maxListSize {
				return errors.New("bad line: a list without an end")
			}
			if !firstLine && !bytes.HasSuffix(bytes.TrimSpace(line), []byte("}")) {
				continue
			}
			l, err := DecodeDiscoveryUpdate(text, d.names)
			var syntaxErr *json.SyntaxError
			if errors.As(err, &syntaxErr) && syntaxErr.Error() == truncatedJSON {
				continue
			}
			if err != nil { // what it told would be missing: ask again after the last that was read
				return fmt.Errorf("bad line: %w", err)
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
		return errors.New("it ended")
	})
	var refused statusError
	if after == node.FullList && errors.As(err, &refused) && refused >= 400 && refused < 500 {
		return errNoFullList
	}
	return err
}

// statusError is a status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// call makes one request on a connection of its own and hands over the body of its answer.
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
