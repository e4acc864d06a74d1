// This file handles workers' callbacks.

package transport

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"weldmast/internal/node"
)

var callbackStates = map[string]node.CallbackState{"started": node.Started, "running": node.Running,
	"done": node.Done, "failed": node.Failed, "returned": node.Returned, "lost": node.Lost}

// serveCallback answers 200 once the node has the callback, even if nobody waits for it any more: otherwise
// the worker would only repeat it.
func (s *session) serveCallback(h requestHead) {
	bytes := excessBytes(callbackCopies * bodyBytes(h.bodyLength))
	if !s.server.awaitAnswerMemory(bytes) {
		s.refuseCallback(h)
		return
	}
	defer s.server.memory.answers.release(bytes)
	body, err := readBody(s.in, h.bodyLength)
	s.conn.markServing()
	if err != nil {
		s.refuse(err)
		return
	}
	callback, err := decodeCallback(body)
	if err != nil {
		s.refuse(err)
		return
	}
	s.conn.markProven()
	s.applyCallback(callback, len(body) > smallRequestBytes)
}

// refuseCallback responds to a callback for which there is no memory. Its worker sends it again.
func (s *session) refuseCallback(h requestHead) {
	err := discardBody(s.in, h.bodyLength)
	s.conn.markServing()
	if err != nil {
		s.refuse(err)
		return
	}
	respondText(s.response, fasthttp.StatusServiceUnavailable, errNoMemory.Error())
}

func decodeCallback(body []byte) (node.Callback, error) {
	var in struct {
		ID, From, State, Result string
		Share                   float64
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return node.Callback{}, badRequest("callback: " + err.Error())
	}
	state, ok := callbackStates[in.State]
	if !ok || in.ID == "" || in.From == "" {
		return node.Callback{}, badRequest("callback: no id, no from or an unknown state")
	}
	return node.Callback{ID: in.ID, From: in.From, State: state, Share: in.Share, Result: in.Result}, nil
}

// applyCallback passes a callback to the node. It waits until the node has applied it if another process may
// know its work item, or if it is large: its memory stays reserved while it is in the node's queue.
func (s *session) applyCallback(callback node.Callback, large bool) {
	c := s.server
	if !c.forwardCallbacks && !large {
		c.node.Enqueue(callback)
		return
	}
	applied := make(chan node.CallbackResult, 1)
	callback.Respond = func(a node.CallbackResult) { applied <- a }
	c.node.Enqueue(callback)
	select {
	case a := <-applied:
		if a == node.CallbackUndetermined { // the worker sends it again
			respondText(s.response, fasthttp.StatusServiceUnavailable, errOtherProcess.Error())
		}
	case <-c.node.Done():
	}
}

var errOtherProcess = errors.New("another process has not answered")
