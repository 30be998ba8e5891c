package intake

// Ticket is the admission of one request.
type Ticket struct {
	admitter *Admitter
	account  *account
	unlisted bool
}

// Done ends the request. Call it exactly once, when nothing runs for the
// request any more.
func (t Ticket) Done() {
	t.account.inFlight.Add(-1)
	if t.unlisted {
		t.admitter.unlisted.inFlight.Add(-1)
	}
	t.admitter.total.Add(-1)
}
