package peer

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// FrameType identifies the purpose of a frame.
type FrameType uint8

const (
	// TypeOpen opens a stream. Method selects the handler, and Body is the request.
	TypeOpen FrameType = iota + 1
	// TypeData carries one part of the response.
	TypeData
	// TypeEnd ends a complete response. Seq is the number of its data frames.
	TypeEnd
	// TypeError ends the stream with an error in Body.
	TypeError
	// TypeCancel means that the opener has cancelled the stream.
	TypeCancel
	// TypeCredit adds Seq bytes to the responder's flow control window.
	TypeCredit
	maxType = TypeCredit
)

// Method identifies the handler of a stream.
type Method uint8

// The methods that processes call on each other.
const (
	MethodDispatch Method = iota + 1
	MethodPush
	MethodSync
	MethodLease
	MethodAnnounce
	MethodCount
	MethodFollow
	MethodCrashes
	MethodLimits
	MethodReplicate
	MethodDigest
	MethodReportPins
	MethodFindPin
	maxMethod = MethodFindPin
)

// Frame is one frame of a stream. Its fields are encoded as an array, in their order.
type Frame struct {
	_      struct{} `cbor:",toarray"`
	Type   FrameType
	Method Method
	Stream uint64
	Seq    uint64
	Body   []byte
}

// Check returns an error if the type or method is unknown.
func (f Frame) Check() error {
	if f.Type == 0 || f.Type > maxType {
		return errors.Newf("frame type %d is unknown", f.Type)
	}
	if f.Method > maxMethod || (f.Type == TypeOpen && f.Method == 0) {
		return errors.Newf("method %d is unknown", f.Method)
	}
	return nil
}

// Checker is a wire type that validates itself after decoding.
type Checker interface {
	Check() error
}

const (
	maxNesting  = 16
	maxElements = 1 << 17
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, BinaryMarshaler: cbor.BinaryMarshalerByteString, ShortestFloat: cbor.ShortestFloat16}.UserBufferEncMode()
	if err != nil {
		panic(errors.Wrap(err, "make CBOR encoding"))
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		IndefLength:       cbor.IndefLengthForbidden,
		BinaryUnmarshaler: cbor.BinaryUnmarshalerByteString,
	}.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "make CBOR decoding"))
	}
	return mode
}

// Encode encodes a wire type as CBOR.
func Encode[T any](value T) ([]byte, error) {
	data, err := encMode.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", value)
	}
	return data, nil
}

// Decode decodes a wire type from CBOR and validates it with its Check method.
func Decode[T Checker](data []byte) (T, error) {
	var value, zero T
	if err := decMode.Unmarshal(data, &value); err != nil {
		return zero, errors.Wrapf(err, "decode %T", value)
	}
	if err := value.Check(); err != nil {
		return zero, errors.Wrapf(err, "check %T", value)
	}
	return value, nil
}

// appendFrame appends the encoded frame to a message.
func appendFrame(message *bytes.Buffer, f *Frame) error {
	return errors.Wrap(encMode.MarshalToBuffer(f, message), "encode frame")
}

// splitFrames decodes the frames of a message and calls each with them in order.
func splitFrames(message []byte, each func(Frame)) error {
	for len(message) > 0 {
		var f Frame
		rest, err := decMode.UnmarshalFirst(message, &f)
		if err != nil {
			return errors.Wrap(err, "decode frame")
		}
		if err := f.Check(); err != nil {
			return err
		}
		each(f)
		message = rest
	}
	return nil
}
