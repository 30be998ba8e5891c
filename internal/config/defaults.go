package config

import (
	"time"

	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// Defaults of values that no file of the folder sets.
const (
	DefaultColdLimit         = 1                // concurrent requests
	DefaultQueueLimitPerSlot = 2                // queued requests per slot
	DefaultWarmAfterPerSlot  = 20               // successful responses per slot
	DefaultResendWindow      = 20 * time.Second // after a restart
	DefaultTimeout           = 10 * time.Second // of a whole request
	DefaultKeyPolicy         = KeyOptional
	DefaultPriority          = PriorityNormal
	DefaultRetries           = 2 // attempts after the first
	DefaultCallerWeight      = 1 // relative share
)

// applyDefaults sets every value that the folder leaves out, so that readers
// needn't interpret zero values. It is idempotent.
func (d *Document) applyDefaults() {
	d.initMaps()
	for name, s := range d.Services {
		d.Services[name] = s.withDefaults()
	}
	for name, r := range d.Routes {
		d.Routes[name] = r.withDefaults()
	}
	for name, c := range d.Callers {
		d.Callers[name] = c.withDefaults()
	}
}

func (d *Document) initMaps() {
	if d.Services == nil {
		d.Services = map[string]Service{}
	}
	if d.Routes == nil {
		d.Routes = map[string]Route{}
	}
	if d.Callers == nil {
		d.Callers = map[string]Caller{}
	}
	if d.DataCentres == nil {
		d.DataCentres = map[datacentre.ID]DataCentre{}
	}
	if d.Hosts == nil {
		d.Hosts = map[host.ID]HostMark{}
	}
}

func (s Service) withDefaults() Service {
	s.ColdLimit = orDefault(s.ColdLimit, DefaultColdLimit)
	s.QueueLimit = orDefault(s.QueueLimit, DefaultQueueLimitPerSlot*s.Slots)
	s.WarmAfter = orDefault(s.WarmAfter, DefaultWarmAfterPerSlot*s.Slots)
	s.ResendWindow = orDefault(s.ResendWindow, Duration(DefaultResendWindow))
	return s
}

func (r Route) withDefaults() Route {
	r.Timeout = orDefault(r.Timeout, Duration(DefaultTimeout))
	r.Key = orDefault(r.Key, DefaultKeyPolicy)
	r.Priority = orDefault(r.Priority, DefaultPriority)
	if r.Retries == nil {
		retries := DefaultRetries
		r.Retries = &retries
	}
	return r
}

func (c Caller) withDefaults() Caller {
	c.Weight = orDefault(c.Weight, DefaultCallerWeight)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
