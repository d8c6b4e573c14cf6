package schedule

import "time"

type state uint8

const (
	queued state = iota + 1
	running
	paused
)

// job is the scheduler's record of an item. While it waits, it is linked into the waiting or paused list of its queue.
type job struct {
	Item
	queue      *classQueue
	state      state
	prev, next *job
	// agingDeadline is when the job counts as aged and may run ahead of higher tiers.
	agingDeadline time.Time
	// latestStart is the latest start that still meets the deadline; heapIndex is the position in the deadline heap, or -1.
	latestStart time.Time
	heapIndex   int
	started     time.Time
	lastTokenAt time.Time
	// tokens is the output so far; charged is what the job has consumed of its queue's deficit, in tokens.
	tokens  int
	charged float64
	// quantumEnd is the output, in tokens, below which a job that aging gave its slot is not paused; 0 for other jobs.
	quantumEnd int
	long       bool
}

// list is an intrusive doubly linked list of jobs, ordered by arrival time.
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

// queueKey includes the tier because a queued job keeps the tier that it was admitted under.
type queueKey struct {
	class    string
	priority uint8
}

// classQueue is the deficit round robin queue of one class in one tier.
type classQueue struct {
	key     queueKey
	version uint64
	weight  float64
	waiting list
	paused  list
	// deficit is the deficit counter in tokens. It is negative after the queue was served ahead of its turn.
	deficit float64
	// meanTokens is the moving average of the output length in tokens.
	meanTokens float64
	running    int
	// lastArrival is when the last item was queued.
	lastArrival time.Time
}

// initialMeanTokens is the assumed output length of a class that has not completed a request.
const initialMeanTokens = 128

// lengthGain is the weight of a new sample in the moving average of the output length.
const lengthGain = 0.05

// promptTokenCost is the cost of one prompt token in output tokens. Engines prefill several hundred times faster than they
// decode one stream.
const promptTokenCost = 1.0 / 256

// cost estimates the deficit that an item consumes.
func (q *classQueue) cost(item *Item) float64 {
	return q.expectedTokens(item) + float64(item.PromptTokens)*promptTokenCost
}

func (q *classQueue) expectedTokens(item *Item) float64 {
	if item.MaxTokens > 0 && float64(item.MaxTokens) < q.meanTokens {
		return float64(item.MaxTokens)
	}
	return q.meanTokens
}

func (q *classQueue) recordLength(tokens int) {
	q.meanTokens += lengthGain * (float64(tokens) - q.meanTokens)
	if q.meanTokens < 1 {
		q.meanTokens = 1
	}
}

func (q *classQueue) empty() bool { return q.waiting.n == 0 && q.paused.n == 0 }

// deadlineHeap is a min-heap of the queued jobs with a deadline, ordered by latestStart.
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
