package admission

// smoothingFactor is the weight of a new sample in the moving means.
const smoothingFactor = 0.1

// movingMean is an exponentially weighted moving mean that starts at its first sample.
type movingMean struct {
	value float64
	known bool
}

func (m *movingMean) add(sample float64) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += smoothingFactor * (sample - m.value)
}
