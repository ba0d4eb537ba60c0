package messenger

// This file defines how a frame stands on a stream, and the bounds of one.

import (
	"bufio"
	"io"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Error is the class of this package's errors.
var Error = errs.Class("messenger")

// MaxFrameBytes bounds one frame.
const MaxFrameBytes = 16 << 20

var readOptions = protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}

// Write writes one message.
func Write[M proto.Message](w io.Writer, m M) error {
	_, err := protodelim.MarshalTo(w, m)
	return Error.Wrap(err)
}

// Read reads one message; a part of one is an error, never a message.
func Read[M proto.Message](r io.Reader, m M) error {
	return Error.Wrap(readOptions.UnmarshalFrom(bufio.NewReader(r), m))
}
