package messenger

// This file defines the encoding of frames on a stream: protobuf messages with a
// length prefix.

import (
	"bufio"
	"io"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Error is the class of this package's errors.
var Error = errs.Class("messenger")

// MaxFrameBytes is the maximum size of an encoded frame.
const MaxFrameBytes = 16 << 20

var readOptions = protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}

// Write writes one message.
func Write[M proto.Message](w io.Writer, m M) error {
	_, err := protodelim.MarshalTo(w, m)
	return Error.Wrap(err)
}

// Read reads one message. A truncated message is an error.
func Read[M proto.Message](r io.Reader, m M) error {
	return Error.Wrap(readOptions.UnmarshalFrom(bufio.NewReader(r), m))
}
