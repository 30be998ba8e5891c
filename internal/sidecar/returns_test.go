package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestCallerRetryIsRecognizedByFingerprintAndDeadline(t *testing.T) {
	g := NewWithT(t)
	const fingerprint, otherFingerprint = 7, 8
	first := time.Unix(1000, 0)
	deadline := first.Add(2 * time.Second)
	retryAt := first.Add(300 * time.Millisecond)
	r := newCallerRetries()
	g.Expect(r.firstAttemptAt(fingerprint, deadline, first)).To(Equal(first))
	r.recordUnanswered(fingerprint, first, deadline)
	g.Expect(r.firstAttemptAt(fingerprint, deadline.Add(3*time.Millisecond), retryAt)).To(Equal(first))
	g.Expect(r.firstAttemptAt(otherFingerprint, deadline, retryAt)).To(Equal(retryAt))
}

func TestSameFingerprintWithAnotherDeadlineIsANewCaller(t *testing.T) {
	g := NewWithT(t)
	first := time.Unix(1000, 0)
	r := newCallerRetries()
	r.recordUnanswered(7, first, first.Add(2*time.Second))
	now := first.Add(300 * time.Millisecond)
	g.Expect(r.firstAttemptAt(7, now.Add(2*time.Second), now)).To(Equal(now))
}
