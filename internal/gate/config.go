package gate

import (
	"time"

	"boragefall/internal/config"
)

// Config configures a gate. Zero fields take their defaults.
type Config struct {
	// Service describes the backend server: slots, connections, cold limit, queue limit
	// and the successful answers until it is warm. It has its own defaults.
	Service config.Service
	// MaxQueueWait bounds how long a request waits for a slot. Default 1 s.
	MaxQueueWait time.Duration
	// ColdQueueWait bounds the wait while the server is not warm. Default 50 ms.
	ColdQueueWait time.Duration
	// MinRetryAfter is the least Retry-After of a refusal. Default 50 ms.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the greatest Retry-After of a refusal. Default 5 s.
	MaxRetryAfter time.Duration
	// IdleAfter is how long the server runs nothing before it is put on probation.
	// Default 1 s.
	IdleAfter time.Duration
	// PauseAfter is the shortest pause of the gate's process that puts the server on
	// probation. Default 1 s.
	PauseAfter time.Duration
	// ProbationSuccesses is the number of successful answers that end a probation.
	// Default 3 answers.
	ProbationSuccesses int
	// DownFor is how long a server is reported as down after it refused a connection.
	// Default 1 s.
	DownFor time.Duration
	// HintTTL is how long a hint lowers the limit. Default 3 s.
	HintTTL time.Duration
	// HintOverrideSuccesses is the number of consecutive successful answers after which
	// the gate ignores unhealthy hints. Default 20 answers.
	HintOverrideSuccesses int
	// QuarantineFor is how long a quarantined fingerprint is refused, and how long a
	// suspect fingerprint is remembered. Default 10 min.
	QuarantineFor time.Duration
	// UnconfirmedQuarantineFor is how long a fingerprint is refused when only the request
	// itself reports crashes. It is long enough for the gates of those servers to report
	// the fingerprint if they quarantined it. Default 5 s.
	UnconfirmedQuarantineFor time.Duration
	// QuarantineSize bounds the quarantined fingerprints and, separately, the suspect
	// fingerprints. Default 1024 fingerprints.
	QuarantineSize int
	// CompletedSize bounds the remembered fingerprints of requests that completed without
	// a crash. Default 4096 fingerprints.
	CompletedSize int
	// SuspectDrainTimeout bounds how long other requests are held back so that a suspect
	// can start. Default 250 ms.
	SuspectDrainTimeout time.Duration
	// SuspectExclusiveTime bounds how long a running suspect keeps the server at the cold
	// limit. Default 1 s.
	SuspectExclusiveTime time.Duration
	// AbandonedTTL is how long a canceled or timed-out request is assumed to be possibly
	// still running on the server. Default 2 s.
	AbandonedTTL time.Duration
	// MaxCallers bounds the callers whose accrued service time is remembered. Default
	// 4096 callers.
	MaxCallers int
	// ShareHalfLife is the half-life of a caller's excess of used service time over the
	// other callers. Default 10 s.
	ShareHalfLife time.Duration
}

// Defaults of Config and config.Service.
const (
	defaultMaxQueueWait             = time.Second
	defaultColdQueueWait            = 50 * time.Millisecond
	defaultMinRetryAfter            = 50 * time.Millisecond
	defaultMaxRetryAfter            = 5 * time.Second
	defaultIdleAfter                = time.Second
	defaultPauseAfter               = time.Second
	defaultProbationSuccesses       = 3
	defaultDownFor                  = time.Second
	defaultHintTTL                  = 3 * time.Second
	defaultHintOverrideSuccesses    = 20
	defaultQuarantineFor            = 10 * time.Minute
	defaultUnconfirmedQuarantineFor = 5 * time.Second
	defaultQuarantineSize           = 1024
	defaultCompletedSize            = 4096
	defaultSuspectDrainTimeout      = 250 * time.Millisecond
	defaultSuspectExclusiveTime     = time.Second
	defaultAbandonedTTL             = 2 * time.Second
	defaultMaxCallers               = 4096
	defaultShareHalfLife            = 10 * time.Second

	defaultColdLimit          = 1
	queuePerSlot              = 2
	warmSuccessesPerSlot      = 20
	defaultConnectionsPerSlot = 1
)

// withDefaults returns the configuration with a default in every zero field.
func (c Config) withDefaults() Config {
	c.Service = serviceDefaults(c.Service)
	setDefault(&c.MaxQueueWait, defaultMaxQueueWait)
	setDefault(&c.ColdQueueWait, defaultColdQueueWait)
	setDefault(&c.MinRetryAfter, defaultMinRetryAfter)
	setDefault(&c.MaxRetryAfter, defaultMaxRetryAfter)
	setDefault(&c.IdleAfter, defaultIdleAfter)
	setDefault(&c.PauseAfter, defaultPauseAfter)
	setDefault(&c.ProbationSuccesses, defaultProbationSuccesses)
	setDefault(&c.DownFor, defaultDownFor)
	setDefault(&c.HintTTL, defaultHintTTL)
	setDefault(&c.HintOverrideSuccesses, defaultHintOverrideSuccesses)
	setDefault(&c.QuarantineFor, defaultQuarantineFor)
	setDefault(&c.UnconfirmedQuarantineFor, defaultUnconfirmedQuarantineFor)
	setDefault(&c.QuarantineSize, defaultQuarantineSize)
	setDefault(&c.CompletedSize, defaultCompletedSize)
	setDefault(&c.SuspectDrainTimeout, defaultSuspectDrainTimeout)
	setDefault(&c.SuspectExclusiveTime, defaultSuspectExclusiveTime)
	setDefault(&c.AbandonedTTL, defaultAbandonedTTL)
	setDefault(&c.MaxCallers, defaultMaxCallers)
	setDefault(&c.ShareHalfLife, defaultShareHalfLife)
	c.MaxRetryAfter = max(c.MaxRetryAfter, c.MinRetryAfter)
	return c
}

// serviceDefaults sets the defaults and bounds of the fields that the gate uses.
func serviceDefaults(s config.Service) config.Service {
	s.Slots = max(s.Slots, 1)
	setDefault(&s.Connections, s.Slots*defaultConnectionsPerSlot)
	s.Slots = min(s.Slots, s.Connections)
	setDefault(&s.ColdLimit, defaultColdLimit)
	s.ColdLimit = min(s.ColdLimit, s.Slots)
	setDefault(&s.QueueLimit, queuePerSlot*s.Slots)
	setDefault(&s.WarmAfter, warmSuccessesPerSlot*s.Slots)
	return s
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
