package peer

import "gradetiller.example/internal/wire"

// answerBuffer bounds the answers that wait for one connection.
const answerBuffer = 1024

// QueueAnswers returns an Answer that never waits for the connection, and the
// function that ends it. QueueAnswers beyond the buffer are dropped.
func QueueAnswers(c *Conn) (Answer, func()) {
	queue := make(chan wire.Message, answerBuffer)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case m := <-queue:
				if c.Send(m) != nil {
					_ = c.Close()
					return
				}
			}
		}
	}()
	answer := func(m wire.Message) error {
		select {
		case queue <- m:
			return nil
		default:
			return errAnswersFull
		}
	}
	return answer, func() { close(done) }
}
