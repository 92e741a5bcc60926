package entry

import (
	"sync"
	"time"

	"gradetiller.example/internal/core/run"
)

// stream holds the tokens of a run's streaming stage until the caller has
// taken them, and the run's end.
//
// Only the attempt that owns the stream may add a token, and only the next
// one; so a late attempt, or one of an earlier stage, can neither double nor
// skip a token.
type stream struct {
	account string
	run     run.ID

	mu    sync.Mutex
	owner run.AttemptID
	stage string
	// visible is true while the text belongs to the pipeline's last stage.
	visible bool
	text    []byte
	count   int
	taken   int
	end     *run.Finish
	wake    chan struct{}
}

func newStream(account string) *stream {
	return &stream{account: account, wake: make(chan struct{}, 1)}
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *stream) finish(f run.Finish) {
	s.mu.Lock()
	s.end = &f
	s.mu.Unlock()
	s.signal()
}

// own gives the stream to an attempt. The first attempt of a stage starts
// from nothing; a later one goes on behind the tokens that are there.
func (s *stream) own(c run.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner = c.Attempt
	if s.stage == c.Stage {
		return
	}
	s.stage, s.visible = c.Stage, c.LastStage
	s.text, s.count, s.taken = nil, 0, 0
}

func (s *stream) add(id run.AttemptID, index int, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner != id || index != s.count || s.end != nil {
		return false
	}
	s.text = append(s.text, text...)
	s.count++
	if s.visible {
		s.signal()
	}
	return true
}

// take returns what came since the last take, and the end once there is one.
func (s *stream) take() ([]byte, *run.Finish) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.visible {
		return nil, s.end
	}
	fresh := s.text[s.taken:]
	s.taken = len(s.text)
	return fresh, s.end
}

// attemptSink passes one attempt's tokens to the run's stream.
type attemptSink struct {
	node   *Node
	stream *stream
	call   run.Call
	owns   bool
}

// Token implements endpoints.Sink. The first token asks the engine whether
// the attempt is wanted; later ones do not take the node's lock.
func (s *attemptSink) Token(index int, text string) bool {
	if !s.owns {
		if !s.node.answering(s.call.Attempt) {
			return false
		}
		s.stream.own(s.call)
		s.owns = true
	}
	return s.stream.add(s.call.Attempt, index, text)
}

// Count implements endpoints.Sink.
func (s *attemptSink) Count() int {
	if !s.owns {
		return 0
	}
	s.stream.mu.Lock()
	defer s.stream.mu.Unlock()
	return s.stream.count
}

// Output implements endpoints.Sink.
func (s *attemptSink) Output() []byte {
	s.stream.mu.Lock()
	defer s.stream.mu.Unlock()
	return append([]byte(nil), s.stream.text...)
}

func (n *Node) answering(id run.AttemptID) bool {
	accepted := false
	n.step(func(now time.Time) []run.Action {
		var actions []run.Action
		accepted, actions = n.engine.FirstToken(now, id)
		return actions
	})
	return accepted
}
