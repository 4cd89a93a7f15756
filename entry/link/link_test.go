package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/link"
)

// TestTwiceAnswerLosesFields sends an answer with each of its fields set, in a list of two if it is repeated.
// A release without the jobs of a route let a repeated submission be accepted anew.
func TestTwiceAnswerLosesFields(t *testing.T) {
	want := &link.Answer{}
	fill(want.ProtoReflect(), 1)
	sent := proto.CloneOf(want)
	_, got := exchange(t, &link.Call{}, want)
	assert.Assert(t, proto.Equal(want, sent), "the handler's answer was changed")
	assert.Assert(t, got.GetNumber() != want.GetNumber(), "the number is not the link's")
	got.Number = want.GetNumber()
	assert.Assert(t, proto.Equal(got, want), "got %v, want %v", got, want)
}

// TestWithdrawnKeyIsLostInCall sends calls with each of their fields set, one with each body. Without the credential, an owner
// with a newer configuration didn't check the caller's key again.
func TestWithdrawnKeyIsLostInCall(t *testing.T) {
	bodies := (&link.Call{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for i := range bodies.Len() {
		t.Run(string(bodies.Get(i).Name()), func(t *testing.T) {
			want := &link.Call{}
			fill(want.ProtoReflect(), i)
			sent := proto.CloneOf(want)
			got, _ := exchange(t, want, &link.Answer{})
			assert.Assert(t, proto.Equal(want, sent), "the call was changed")
			assert.Assert(t, got.GetNumber() != want.GetNumber(), "the number is not the link's")
			got.Number = want.GetNumber()
			assert.Assert(t, proto.Equal(got, want), "got %v, want %v", got, want)
		})
	}
}

// exchange sends a call over a link on loopback, and returns it as the handler has got it, and the answer.
func exchange(t *testing.T, q *link.Call, a *link.Answer) (*link.Call, *link.Answer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	calls := make(chan *link.Call, 1)
	s := &link.Server{Handle: func(_ context.Context, q *link.Call) *link.Answer {
		calls <- q
		return a
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	var c link.Client
	got, err := c.Call(ctx, l.Addr().String(), q)
	assert.NilError(t, err)
	c.Close()
	assert.NilError(t, l.Close())
	assert.NilError(t, <-done)
	return <-calls, got
}

// fill sets each field of a message, of a oneof the one with the index n, and those of its messages.
func fill(m protoreflect.Message, n int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if o := f.ContainingOneof(); o != nil && o.Fields().Get(n%o.Fields().Len()) != f {
			continue
		}
		switch {
		case f.IsMap():
			v := m.NewField(f)
			v.Map().Set(value(m, f.MapKey(), n).MapKey(), value(m, f.MapValue(), n))
			m.Set(f, v)
		case f.IsList():
			v := m.NewField(f)
			for k := range 2 {
				if f.Message() != nil {
					fill(v.List().AppendMutable().Message(), n+k)
				} else {
					v.List().Append(value(m, f, n+k))
				}
			}
			m.Set(f, v)
		case f.Message() != nil:
			fill(m.Mutable(f).Message(), n)
		default:
			m.Set(f, value(m, f, n))
		}
	}
}

// value returns a value of a scalar field that isn't its default.
func value(m protoreflect.Message, f protoreflect.FieldDescriptor, n int) protoreflect.Value {
	k := int64(f.Number()) + 100*int64(n+1)
	switch f.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(f.Name()))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(f.Name()))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(k))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(k)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(k))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(k))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(k))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(k))
	case protoreflect.MessageKind, protoreflect.GroupKind:
	}
	panic("no value for " + string(m.Descriptor().FullName()) + "." + string(f.Name()))
}
