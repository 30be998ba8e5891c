package ownership

import "time"

// peer is what the answered heartbeats prove about the process on another host.
type peer struct {
	bootMillis int64
	floor      uint64
	// settled reports that the process counts towards a quorum. Its earlier reports
	// count too then, since a process never adopts an older view.
	settled bool
	// settledSince is when the first answer with Settled arrived.
	settledSince time.Time
	// sent is when the last answered request was sent.
	sent time.Time
	// reports holds the views that the process reported, oldest first.
	reports []viewReport
}

// viewReport is a view that a peer reported in one or more consecutive answers.
type viewReport struct {
	revision, hash uint64
	// first is the revision since which the peer reports to have held the set.
	first uint64
	// arrived is when the first of the answers arrived.
	arrived time.Time
	// sent is when the request of the last answer was sent.
	sent time.Time
}

// addReport adds an answer, which must be newer than the last one.
func (p *peer) addReport(h Heartbeat, sent, now time.Time) {
	if h.HasFloor && !p.settled {
		p.settledSince = now
	}
	p.settled = h.HasFloor
	p.sent = sent
	p.floor = max(p.floor, h.Floor)
	if n := len(p.reports); n > 0 && p.reports[n-1].revision == h.ViewRevision {
		p.reports[n-1].sent = sent
		return
	}
	p.reports = append(p.reports, viewReport{revision: h.ViewRevision, hash: h.ViewHash, first: h.SetSince, arrived: now, sent: sent})
}

func (p *peer) lastReport() viewReport {
	if len(p.reports) == 0 {
		return viewReport{}
	}
	return p.reports[len(p.reports)-1]
}

// prune drops the reports that are not needed for views after the floor.
func (p *peer) prune(floor uint64) {
	for len(p.reports) > 1 && p.reports[1].revision <= floor {
		p.reports = p.reports[1:]
	}
}

// heldSince returns since when the process is certain to have held views of one set,
// without a gap in which it could have held another set for a whole lease.
func (p *peer) heldSince(hash uint64, lease time.Duration) (time.Time, bool) {
	i := len(p.reports) - 1
	if i < 0 || p.reports[i].hash != hash {
		return time.Time{}, false
	}
	for i > 0 && p.reports[i-1].hash == hash && p.reports[i].contiguousWith(p.reports[i-1], lease) {
		i--
	}
	return p.reports[i].arrived, true
}

// contiguousWith reports whether the process can't have spent a whole lease under
// another view between two of its reports.
func (s viewReport) contiguousWith(earlier viewReport, lease time.Duration) bool {
	if s.hash == earlier.hash && s.first > 0 && s.first <= earlier.revision {
		return true
	}
	return s.arrived.Sub(earlier.sent) < lease
}

// continuous reports whether the process can't have spent a whole lease under a view
// after revision that is not known. If its first report is after revision, it counts
// only with acceptRestarted.
func (p *peer) continuous(revision uint64, lease time.Duration, known func(viewReport) bool, acceptRestarted bool) bool {
	var last *viewReport
	for i := range p.reports {
		s := &p.reports[i]
		if s.revision > revision {
			if !known(*s) {
				continue
			}
			if last == nil && !acceptRestarted || last != nil && !s.contiguousWith(*last, lease) {
				return false
			}
		}
		last = s
	}
	return last != nil && last.revision == p.lastReport().revision
}
