// Package bounded keeps in memory what other processes send, up to a limit for one and within a budget for all.
//
// A process that holds what it reads until the sender has ended it leaves its memory to the sender. A Buffer
// therefore has a limit, and it reserves each part in a membudget.Budget before it reads it. Reading stops with
// ErrLimit or ErrNoRoom; what was read so far is kept, so that the caller may pass it on and read the rest as it
// goes. ReadAll is for what is of no use in part: it never returns a beginning as if it were the whole, as
// io.LimitReader does.
//
// # Usage
//
//	body := bounded.NewBuffer(budget.Reservation(membudget.Responses), 1<<20)
//	defer body.Release()
//	switch err := body.Fill(resp.Body); {
//	case err == nil: // the whole body is held
//	case errors.Is(err, bounded.ErrLimit), errors.Is(err, bounded.ErrNoRoom): // pass it on as it arrives
//	default: // it broke off
//	}
//
//	data, err := bounded.ReadAll(resp.Body, 64<<10)
package bounded
