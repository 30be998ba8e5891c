package routing

import "time"

// ejectionThreshold is the number of leaving or failing hosts at which a data
// centre is ejected. A single host may restart or fail on its own.
const ejectionThreshold = 2

// ejectionProbeInterval is the number of first attempts of which one may use a
// data centre that is ejected for failures, so that an answer can restore it.
const ejectionProbeInterval = 24

// inFlightAnswerMargin is how long after a failure answers may still arrive that
// were sent before it.
const inFlightAnswerMargin = 10 * time.Millisecond

// dataCentreHealth counts, for each data centre of a pool, the hosts that reported
// that they are leaving and those that failed recently.
type dataCentreHealth struct {
	leaving    [maxSubsetSize]uint8
	failed     [maxSubsetSize]uint8
	anyEjected bool // at least one data centre reached ejectionThreshold
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

// clearRecovered clears the failures of a data centre in which another host
// answered more than inFlightAnswerMargin after the first failure: then single
// hosts are failing, not the data centre. Leaving reports are kept, since a
// leaving host still answers the requests that it is running.
func (t *dataCentreHealth) clearRecovered(p *Pool, now int64) {
	var answeredAt, failedAt [maxSubsetSize]int64
	for i := range p.subset {
		s, dc := p.subset[i].Stats, p.dataCentres[i]
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
