package ledger

// MaxAnswerBytes returns the maximum size of a stored answer, in bytes.
func (l *Ledger) MaxAnswerBytes() int {
	return l.cfg.MaxAnswerBytes
}
