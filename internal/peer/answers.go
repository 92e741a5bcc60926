package peer

import "gradetiller.example/internal/wire"

// maxQueuedAnswers bounds the answers that are queued for one connection.
const maxQueuedAnswers = 1024

// QueueAnswers returns an Answer that queues messages for the connection and never blocks, and a
// function that stops it. If the queue is full, an answer is dropped with an error.
func QueueAnswers(c *Conn) (Answer, func()) {
	queue := make(chan wire.Message, maxQueuedAnswers)
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
			return errAnswerQueueFull
		}
	}
	return answer, func() { close(done) }
}
