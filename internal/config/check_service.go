package config

import "fmt"

func (c *checker) checkService(pointer, name string, s Service) {
	c.checkName(pointer, name)
	slots, connections := joinPointer(pointer, "slots"), joinPointer(pointer, "connections")
	if c.required(slots, "set how many requests one server runs at once") {
		c.checkRange(slots, s.Slots, 1, MaxSlots)
	}
	if c.required(connections, "set how many connections one server accepts") {
		c.checkRange(connections, s.Connections, 1, MaxConnections)
	}
	c.checkRange(joinPointer(pointer, "coldLimit"), s.ColdLimit, 1, MaxSlots)
	c.checkRange(joinPointer(pointer, "queueLimit"), s.QueueLimit, 1, MaxQueueLimit)
	c.checkRange(joinPointer(pointer, "warmAfter"), s.WarmAfter, 1, MaxWarmAfter)
	c.checkDuration(joinPointer(pointer, "resendWindow"), s.ResendWindow, Duration(MinResendWindow), Duration(MaxResendWindow))
	c.checkSlotLimits(pointer, s)
}

// checkSlotLimits checks ColdLimit and Connections against Slots.
func (c *checker) checkSlotLimits(pointer string, s Service) {
	if s.Slots < 1 {
		return
	}
	if s.ColdLimit > s.Slots {
		c.add(joinPointer(pointer, "coldLimit"), fmt.Sprintf("%d is over the %d slots", s.ColdLimit, s.Slots),
			"a cold server can't run more requests at once than a warm one")
	}
	if s.Connections > 0 && s.Connections < s.Slots {
		c.add(joinPointer(pointer, "connections"), fmt.Sprintf("%d is under the %d slots", s.Connections, s.Slots),
			"each running request holds a connection")
	}
}
