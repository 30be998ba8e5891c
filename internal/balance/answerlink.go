package balance

import (
	"time"

	"boragefall/internal/contract"
)

// answerRate returns the rate at which a gate sends large answers in bytes per second; 0
// means unknown. Older builds report only the rate of bodies.
func (s *serverState) answerRate() int64 {
	if s.load.AnswerRate > 0 {
		return s.load.AnswerRate
	}
	return s.load.BodyRate
}

// answerTransferTime returns the time that sending a large answer takes; 0 for a small one.
func (s *serverState) answerTransferTime(r Request) time.Duration {
	return s.transferTime(r.AnswerBytes, r.AnswerBytes)
}

// transferTime returns the time for some bytes if an answer of a size is large.
func (s *serverState) transferTime(bytes, size int64) time.Duration {
	if rate := s.answerRate(); rate > 0 && size >= contract.LargeAnswerBytes {
		return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
	}
	return 0
}

// answerQueueDelay returns the least time until a gate has sent the large answers that it
// reported and those to the requests sent there since.
func (s *serverState) answerQueueDelay(now time.Time) time.Duration {
	delay := max(s.load.AnswerQueueDelay-now.Sub(s.loadAt), 0)
	return delay + s.transferTime(s.answerBytesSinceLoad, contract.LargeAnswerBytes)
}

// answerExcess returns the time after which a gate may have link capacity for an answer
// that would be late now. It is 0 if the answer would be late on an idle link, too: the
// gate decides on such requests.
func (s *serverState) answerExcess(r Request, now time.Time) time.Duration {
	transfer := s.answerTransferTime(r)
	allowed := time.Duration((1 - answerReserveShare) * float64(r.Objective))
	if transfer <= 0 || s.load.AnswerRate <= 0 || transfer > allowed {
		return 0
	}
	return max(s.answerQueueDelay(now)+transfer-allowed, 0)
}
