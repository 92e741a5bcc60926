package entry

import (
	"sync"
	"time"

	"gradetiller.example/internal/core/run"
)

// stream buffers the tokens of a run's current streaming stage for the client,
// and holds the run's result.
//
// Only the owning attempt can append a token, and only the one with the next
// index. A superseded attempt, or one of an earlier stage, can therefore
// neither duplicate nor skip a token.
type stream struct {
	account string
	run     run.ID

	mu    sync.Mutex
	owner run.AttemptID
	stage string
	// visible is true if the text is that of the pipeline's last stage, which
	// is delivered to the client.
	visible   bool
	text      []byte
	tokens    int
	delivered int
	end       *run.Finish
	wake      chan struct{}
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

// setOwner makes an attempt the owner. The first attempt of a stage clears the
// text; a later attempt of the same stage continues after the existing tokens.
func (s *stream) setOwner(c run.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner = c.Attempt
	if s.stage == c.Stage {
		return
	}
	s.stage, s.visible = c.Stage, c.LastStage
	s.text, s.tokens, s.delivered = nil, 0, 0
}

func (s *stream) appendToken(id run.AttemptID, index int, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner != id || index != s.tokens || s.end != nil {
		return false
	}
	s.text = append(s.text, text...)
	s.tokens++
	if s.visible {
		s.signal()
	}
	return true
}

// take returns the text appended since the last take, and the run's result once
// it has ended.
func (s *stream) take() ([]byte, *run.Finish) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.visible {
		return nil, s.end
	}
	fresh := s.text[s.delivered:]
	s.delivered = len(s.text)
	return fresh, s.end
}

// attemptSink appends the tokens of one attempt to the run's stream.
type attemptSink struct {
	node    *Node
	stream  *stream
	call    run.Call
	isOwner bool
}

// Token implements endpoints.Sink. On the first token the engine decides
// whether the attempt's tokens are used; later tokens do not lock the node.
func (s *attemptSink) Token(index int, text string) bool {
	if !s.isOwner {
		if !s.node.firstToken(s.call.Attempt) {
			return false
		}
		s.stream.setOwner(s.call)
		s.isOwner = true
	}
	return s.stream.appendToken(s.call.Attempt, index, text)
}

// Count implements endpoints.Sink.
func (s *attemptSink) Count() int {
	if !s.isOwner {
		return 0
	}
	s.stream.mu.Lock()
	defer s.stream.mu.Unlock()
	return s.stream.tokens
}

// Output implements endpoints.Sink.
func (s *attemptSink) Output() []byte {
	s.stream.mu.Lock()
	defer s.stream.mu.Unlock()
	return append([]byte(nil), s.stream.text...)
}

func (n *Node) firstToken(id run.AttemptID) bool {
	accepted := false
	n.step(func(now time.Time) []run.Action {
		var actions []run.Action
		accepted, actions = n.engine.FirstToken(now, id)
		return actions
	})
	return accepted
}
