package intake

// Permit is the admission of one request.
type Permit struct {
	admitter *Admitter
	caller   *callerState
	unlisted bool
}

// Done ends the request. Call it exactly once, when nothing runs for the
// request any more.
func (t Permit) Done() {
	t.caller.inFlight.Add(-1)
	if t.unlisted {
		t.admitter.unlisted.inFlight.Add(-1)
	}
	t.admitter.inFlight.Add(-1)
}
