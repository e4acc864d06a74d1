package takeover

import "testing"

// TestCallbackNotEncodedForNobody guards against a flood of large callbacks for unknown jobs that keeps the event
// loop busy with encoding them, though there is no other process to ask.
func TestCallbackNotEncodedForNobody(t *testing.T) {
	results := make(chan CallbackResult, 1)
	encode := func() []byte {
		t.Error("the callback was encoded")
		return nil
	}
	New(Options{}).ForwardCallback(encode, false, false, func(r CallbackResult) { results <- r })
	select {
	case r := <-results:
		if r != JobNotFound {
			t.Errorf("got %v", r)
		}
	default:
		t.Error("no result")
	}
}
