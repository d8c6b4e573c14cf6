package schedule

import "time"

type state uint8

const (
	queued state = iota + 1
	running
	paused
)

// job is an item known to the scheduler. It is linked into the queued or paused list of its lane.
type job struct {
	Item
	lane       *lane
	state      state
	prev, next *job
	// due is when the MaxWait floor puts the job ahead of higher tiers.
	due time.Time
	// latestStart is the last time at which the deadline can be met; heapIndex is its place in the deadline heap.
	latestStart time.Time
	heapIndex   int
	started     time.Time
	lastTokens  time.Time
	// tokens is the output so far; charged is the part of the lane's deficit that the job has used.
	tokens  int
	charged float64
	// floorUntil is the token count up to which a job started by the floor is not paused; 0 otherwise.
	floorUntil int
	long       bool
}

// list is an intrusive list ordered by the time each job began to wait.
type list struct {
	head, tail *job
	n          int
}

func (l *list) insert(j *job) {
	at := l.tail
	for at != nil && j.Arrived.Before(at.Arrived) {
		at = at.prev
	}
	j.prev = at
	if at == nil {
		j.next, l.head = l.head, j
	} else {
		j.next, at.next = at.next, j
	}
	if j.next == nil {
		l.tail = j
	} else {
		j.next.prev = j
	}
	l.n++
}

func (l *list) remove(j *job) {
	if j.prev == nil {
		l.head = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		l.tail = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.prev, j.next = nil, nil
	l.n--
}

// laneKey separates the jobs of a class by tier, because a queued job keeps the tier it was admitted under.
type laneKey struct {
	class    string
	priority uint8
}

// lane is the queue of one class in one tier.
type lane struct {
	key     laneKey
	version uint64
	weight  float64
	waiting list
	paused  list
	// deficit is the share in tokens that the lane may still use; negative after it was served ahead of its turn.
	deficit float64
	// meanTokens is the moving average of the output length.
	meanTokens float64
	active     int
	// seen is the last time at which an item arrived.
	seen time.Time
}

// initialTokens is the assumed output length of a class that has not completed a request.
const initialTokens = 128

// lengthGain is the weight of a new length in the moving average.
const lengthGain = 0.05

// promptShare is the cost of one prompt token in output tokens: engines read prompts several hundred times faster than
// they generate one stream.
const promptShare = 1.0 / 256

func (l *lane) cost(item *Item) float64 {
	return l.expectedTokens(item) + float64(item.PromptTokens)*promptShare
}

func (l *lane) expectedTokens(item *Item) float64 {
	if item.MaxTokens > 0 && float64(item.MaxTokens) < l.meanTokens {
		return float64(item.MaxTokens)
	}
	return l.meanTokens
}

func (l *lane) learn(tokens int) {
	l.meanTokens += lengthGain * (float64(tokens) - l.meanTokens)
	if l.meanTokens < 1 {
		l.meanTokens = 1
	}
}

func (l *lane) idle() bool { return l.waiting.n == 0 && l.paused.n == 0 }

// deadlineHeap orders queued jobs by latestStart.
type deadlineHeap []*job

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, k int) bool { return h[i].latestStart.Before(h[k].latestStart) }
func (h deadlineHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.heapIndex = -1
	return j
}
