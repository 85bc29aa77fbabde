package peer

import (
	"fmt"
	"unicode/utf8"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// codec encodes messages between VMs. A string that is not UTF-8 can't be encoded; the codec
// then leaves out the records that hold one, so that they don't stop the rest of the message.
type codec struct {
	// onDrop is told how many records of a message were left out.
	onDrop func(message protoreflect.FullName, records int)
}

// Name implements connect.Codec. It is the name of connect's own codec, which this one
// replaces.
func (codec) Name() string { return "proto" }

// Marshal implements connect.Codec.
func (c codec) Marshal(v any) ([]byte, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, fmt.Errorf("encode %T: not a message", v)
	}
	b, err := proto.Marshal(m)
	if err == nil {
		return b, nil
	}
	readable := proto.Clone(m)
	dropped := dropUnreadable(readable.ProtoReflect())
	if dropped == 0 {
		return nil, fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().FullName(), err)
	}
	c.onDrop(m.ProtoReflect().Descriptor().FullName(), dropped)
	return proto.Marshal(readable)
}

// Unmarshal implements connect.Codec.
func (codec) Unmarshal(b []byte, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return fmt.Errorf("decode %T: not a message", v)
	}
	return proto.Unmarshal(b, m)
}

// dropUnreadable removes the elements of m's lists, and of those in its other fields, that
// can't be encoded, and returns how many.
func dropUnreadable(m protoreflect.Message) int {
	dropped := 0
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.IsList():
			dropped += dropFromList(f, v.List())
		case f.Message() != nil:
			dropped += dropUnreadable(v.Message())
		}
		return true
	})
	return dropped
}

// dropFromList removes the elements of a list, the value of f, that can't be encoded.
func dropFromList(f protoreflect.FieldDescriptor, l protoreflect.List) int {
	kept := 0
	for i := range l.Len() {
		v := l.Get(i)
		if readableValue(f, v) {
			l.Set(kept, v)
			kept++
		}
	}
	dropped := l.Len() - kept
	l.Truncate(kept)
	return dropped
}

// readable reports whether all strings of a message, and of the messages in it, are UTF-8.
func readable(m protoreflect.Message) bool {
	ok := true
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.IsList():
			for i := range v.List().Len() {
				ok = ok && readableValue(f, v.List().Get(i))
			}
		default:
			ok = readableValue(f, v)
		}
		return ok
	})
	return ok
}

func readableValue(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
	switch f.Kind() {
	case protoreflect.StringKind:
		return utf8.ValidString(v.String())
	case protoreflect.MessageKind:
		return readable(v.Message())
	}
	return true
}

var _ connect.Codec = codec{}
