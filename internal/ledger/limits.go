package ledger

// MaxAnswerBytes is the longest answer, in bytes, that the ledger stores.
func (l *Ledger) MaxAnswerBytes() int {
	return l.cfg.MaxAnswerBytes
}
