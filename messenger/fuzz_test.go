package messenger

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"persimmonvalve/internal/wire"
)

// FuzzFrames checks that Read doesn't panic on any input, and that a frame is the
// same after Write and Read.
func FuzzFrames(f *testing.F) {
	var buffer bytes.Buffer
	if err := Write(&buffer, &wire.Frame{Sender: "a", Body: &wire.Frame_Forward{Forward: &wire.Forward{Id: "x", Body: []byte("body")}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(buffer.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &wire.Frame{}
		if err := Read(bytes.NewReader(data), frame); err != nil {
			return
		}
		var encoded bytes.Buffer
		if err := Write(&encoded, frame); err != nil {
			t.Fatal(err)
		}
		decoded := &wire.Frame{}
		if err := Read(&encoded, decoded); err != nil || !proto.Equal(frame, decoded) {
			t.Errorf("got %v %v, want %v", decoded, err, frame)
		}
	})
}

// A truncated frame is an error at every length, never a shorter frame.
func TestTruncatedFrame(t *testing.T) {
	var buffer bytes.Buffer
	frame := &wire.Frame{Sender: "a", Body: &wire.Frame_Answer{Answer: &wire.Answer{Id: "x", Body: []byte("a long answer")}}}
	if err := Write(&buffer, frame); err != nil {
		t.Fatal(err)
	}
	for n := range buffer.Len() {
		if err := Read(bytes.NewReader(buffer.Bytes()[:n]), &wire.Frame{}); err == nil {
			t.Errorf("%d of %d bytes: got no error, want one", n, buffer.Len())
		}
	}
}
