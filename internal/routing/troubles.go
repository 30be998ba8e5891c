package routing

import "time"

// ejectionThreshold is the number of troubled hosts from which on a data centre is
// avoided. One host alone may restart or break for reasons of its own.
const ejectionThreshold = 2

// ejectionProbeInterval is the number of first attempts of which one goes to a data
// centre that is avoided for failures, so that an answer can clear it.
const ejectionProbeInterval = 24

// inFlightAnswerMargin is how long after a failure answers may come that were sent
// before it.
const inFlightAnswerMargin = 10 * time.Millisecond

// dataCentreHealth counts the hosts of each data centre of a pool that said that they
// leave and those that failed lately.
type dataCentreHealth struct {
	leaving    [maxSubsetSize]uint8
	failed     [maxSubsetSize]uint8
	anyEjected bool // some data centre may have to be avoided
}

func (t *dataCentreHealth) add(dataCentre uint8, s *Stats, now int64) {
	switch {
	case s.reportedLeaving(now):
		t.leaving[dataCentre]++
	case s.failedRecently(now):
		t.failed[dataCentre]++
	default:
		return
	}
	t.anyEjected = t.anyEjected || t.ejected(dataCentre)
}

func (t *dataCentreHealth) ejected(dataCentre uint8) bool {
	return t.leaving[dataCentre]+t.failed[dataCentre] >= ejectionThreshold
}

func (t *dataCentreHealth) clearFailures() {
	clear(t.failed[:])
}

// clearRecovered forgets the failures of data centres of which another host has answered
// well after the first of them: then single hosts are broken, not the data
// centre. Answers say nothing against leaving, since requests that run are
// finished all the same.
func (t *dataCentreHealth) clearRecovered(p *Pool, now int64) {
	var answeredAt, failedAt [maxSubsetSize]int64
	for i := range p.servers {
		s, dc := p.servers[i].Stats, p.dataCentres[i]
		if !s.failedRecently(now) {
			answeredAt[dc] = max(answeredAt[dc], s.answeredAt.Load())
			continue
		}
		if at := s.failedAt.Load(); failedAt[dc] == 0 || at < failedAt[dc] {
			failedAt[dc] = at
		}
	}
	for dc := range failedAt {
		if answeredAt[dc] > failedAt[dc]+int64(inFlightAnswerMargin) {
			t.failed[dc] = 0
		}
	}
}
