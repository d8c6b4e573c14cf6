package wire

import (
	"bytes"
	"reflect"
	"testing"
)

// Guards against frames from a peer that crash the process, exceed the size limit when re-encoded, or change when re-encoded.
func FuzzReader(f *testing.F) {
	for t := TypeHello; newMessage(t) != nil; t++ {
		frame, err := Append(nil, newMessage(t))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for {
			m, err := r.Read()
			if err != nil {
				return
			}
			frame, err := Append(nil, m)
			if err != nil {
				t.Fatalf("message %+v cannot be encoded again: %v", m, err)
			}
			again, err := NewReader(bytes.NewReader(frame)).Read()
			if err != nil {
				t.Fatalf("message %+v cannot be decoded again: %v", m, err)
			}
			second, err := Append(nil, again)
			if err != nil || !bytes.Equal(frame, second) || reflect.TypeOf(m) != reflect.TypeOf(again) {
				t.Fatalf("message changes when it is encoded again: %v\n%x\n%x", err, frame, second)
			}
		}
	})
}
