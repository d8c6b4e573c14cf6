package intake

// Phase is what a connection is doing.
type Phase uint8

// Phases.
const (
	// Waiting connections are new or idle: they have sent no byte of their next request.
	Waiting Phase = iota
	// Head is from the first byte of a head to its end.
	Head
	// Body is from the end of a head until the request has been read and is served.
	Body
	// Serving is from then until the response has been written. Such a connection is not closed for others.
	Serving
	phases
)

// String returns the name of the phase, for metrics.
func (p Phase) String() string {
	return [phases]string{"waiting", "head", "body", "serving"}[p]
}

// standing is what decides which connections are closed when memory or descriptors run low.
type standing struct {
	phase Phase
	// served is set if a request of the connection has been served.
	served bool
	// charge is the memory that the connection holds, in bytes.
	charge int64
	// age is how long it has been in the phase, in sweeps.
	age uint64
	// number counts the connections in the order of their arrival.
	number uint64
}

// Ranks of connections, by what they have done so far: the lowest is closed first.
const (
	rankUnserved = iota
	rankReading
	rankIdle
	rankServing
)

func (s standing) rank() int {
	switch {
	case s.phase == Serving:
		return rankServing
	case !s.served:
		return rankUnserved
	case s.charge > connBytes:
		return rankReading
	default:
		return rankIdle
	}
}

// before reports whether a connection is closed before another one: the one of the lower rank, and of equals the one that has held
// more memory for a longer time, so that a new caller goes on beside many old ones.
func (s standing) before(other standing) bool {
	if a, b := s.rank(), other.rank(); a != b {
		return a < b
	}
	if a, b := s.charge*int64(s.age+1), other.charge*int64(other.age+1); a != b {
		return a > b
	}
	return s.number < other.number
}
