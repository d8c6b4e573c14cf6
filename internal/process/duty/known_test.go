package duty

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
)

// Guards against news of a window that are too long for a datagram, and against a part of its counts that is taken for all of them.
func TestNewsOfAWindowFitIntoDatagrams(t *testing.T) {
	w := Window{Number: 100, Holder: "edge-1", Fence: 1 << 40, Sum: map[string]uint64{}}
	for n := range 300 {
		w.Sum[fmt.Sprintf("workspace-with-a-long-name-%d", n)] = 1 << 40
	}
	var sender, receiver knownUsage
	for number := range uint64(toldWindows) {
		sender.record(&Window{Number: number + 1, Sum: map[string]uint64{"a": 1}}, true)
	}
	sender.record(&w, true)
	list := sender.recent()
	for i, news := range list {
		data, err := cbor.Marshal(&news)
		if err != nil || len(data)+1 >= gossip.MaxBroadcastBytes {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
		if content, _ := receiver.get(w.Number); content != nil {
			t.Errorf("the window counts as known after %d of %d messages", i, len(list))
		}
		receiver.hear(&news, time.Unix(1000, 0))
		receiver.hear(&news, time.Unix(1000, 0))
	}
	content, reported := receiver.get(w.Number)
	if content == nil || !reported || !maps.Equal(content.Sum, w.Sum) {
		t.Errorf("got %+v, reported %t", content, reported)
	}
	if !receiver.mayHave(50, time.Unix(900, 0)) || !receiver.mayHave(200, time.Unix(1001, 0)) || receiver.mayHave(200, time.Unix(900, 0)) {
		t.Error("windows before a known one, and all before an edge has told, may have been reported; later ones can't")
	}
}
