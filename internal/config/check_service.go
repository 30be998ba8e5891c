package config

import "fmt"

func (c *checker) checkService(at, name string, s Service) {
	c.checkName(at, name)
	slots, connections := join(at, "slots"), join(at, "connections")
	if c.required(slots, "state how many requests one server runs at once") {
		c.checkRange(slots, s.Slots, 1, MaxSlots)
	}
	if c.required(connections, "state how many connections one server takes") {
		c.checkRange(connections, s.Connections, 1, MaxConnections)
	}
	c.checkRange(join(at, "coldLimit"), s.ColdLimit, 1, MaxSlots)
	c.checkRange(join(at, "queueLimit"), s.QueueLimit, 1, MaxQueueLimit)
	c.checkRange(join(at, "warmAfter"), s.WarmAfter, 1, MaxWarmAfter)
	c.checkDuration(join(at, "resendWindow"), s.ResendWindow, Duration(MinResendWindow), Duration(MaxResendWindow))
	c.checkSlots(at, s)
}

// checkSlots holds the limits of a service against each other.
func (c *checker) checkSlots(at string, s Service) {
	if s.Slots < 1 {
		return
	}
	if s.ColdLimit > s.Slots {
		c.add(join(at, "coldLimit"), fmt.Sprintf("%d is over the %d slots", s.ColdLimit, s.Slots),
			"a cold server bears no more than a warm one")
	}
	if s.Connections > 0 && s.Connections < s.Slots {
		c.add(join(at, "connections"), fmt.Sprintf("%d is under the %d slots", s.Connections, s.Slots),
			"each running request holds a connection")
	}
}
