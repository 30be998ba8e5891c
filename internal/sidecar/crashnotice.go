package sidecar

import (
	"time"

	"boragefall/internal/wire"
)

// crashTransitAllowance is deducted from the time at which another gate's server crashed,
// as counted from the arrival of its notice: a request that was sent again may arrive
// slightly before the notice of the crash that it caused.
const crashTransitAllowance = 10 * time.Millisecond

// maxNoticeQuarantined bounds the quarantined requests in one notice.
const maxNoticeQuarantined = 256

// encodeCrashNotice returns a notice with the ages of its times at now.
func encodeCrashNotice(n crashNotice, now time.Time) *wire.CrashNotice {
	message := &wire.CrashNotice{Answered: n.answered}
	for _, run := range n.crashed {
		message.Fingerprints = append(message.Fingerprints, run.fingerprint)
		message.StartedMicros = append(message.StartedMicros, microsSince(run.startedAt, now))
		message.CrashedMicros = append(message.CrashedMicros, microsSince(run.crashedAt, now))
	}
	for _, request := range n.quarantined[:min(len(n.quarantined), maxNoticeQuarantined)] {
		if remaining := request.until.Sub(now); remaining > 0 {
			message.Quarantined = append(message.Quarantined, &wire.QuarantinedRequest{
				Fingerprint: request.fingerprint, RemainingMillis: uint32(remaining.Milliseconds()),
			})
		}
	}
	return message
}

func microsSince(at, now time.Time) uint64 {
	return uint64(max(now.Sub(at), 0).Microseconds())
}

// decodeCrashNotice decodes a notice that arrived at now. Older nodes report no times;
// each of their reports counts.
func decodeCrashNotice(message *wire.CrashNotice, now time.Time) crashNotice {
	n := crashNotice{answered: message.GetAnswered()}
	started, crashed := message.GetStartedMicros(), message.GetCrashedMicros()
	for i, fingerprint := range message.GetFingerprints() {
		run := crashedRun{fingerprint: fingerprint, startedAt: now, crashedAt: now}
		if i < len(started) && i < len(crashed) {
			run.startedAt = now.Add(-microsDuration(started[i]))
			run.crashedAt = now.Add(-microsDuration(crashed[i]) - crashTransitAllowance)
		}
		n.crashed = append(n.crashed, run)
	}
	for _, request := range message.GetQuarantined() {
		remaining := min(time.Duration(request.GetRemainingMillis())*time.Millisecond, quarantineDuration)
		n.quarantined = append(n.quarantined, quarantinedRequest{fingerprint: request.GetFingerprint(), until: now.Add(remaining)})
	}
	return n
}

func microsDuration(micros uint64) time.Duration {
	return time.Duration(min(micros, uint64(quarantineDuration.Microseconds()))) * time.Microsecond
}
