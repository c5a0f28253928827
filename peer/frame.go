package peer

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// FrameType says what a frame means for its stream.
type FrameType uint8

const (
	// TypeOpen opens a stream; Method and Body say what is asked.
	TypeOpen FrameType = iota + 1
	// TypeData carries one part of the answer.
	TypeData
	// TypeEnd says that the answer is whole; Seq counts the data frames before it.
	TypeEnd
	// TypeError ends the stream with an error in Body.
	TypeError
	// TypeCancel says that the opener wants no more of the stream.
	TypeCancel
	// TypeCredit grants the answerer Seq more bytes.
	TypeCredit
	maxType = TypeCredit
)

// Method says which handler a stream is opened for.
type Method uint8

// The methods that the system's processes offer each other.
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
	maxMethod = MethodLimits
)

// Frame is the unit of traffic on a connection.
type Frame struct {
	_      struct{} `cbor:",toarray"`
	Type   FrameType
	Method Method
	Stream uint64
	Seq    uint64
	Body   []byte
}

// Check reports a frame of an unknown type or method.
func (f Frame) Check() error {
	if f.Type == 0 || f.Type > maxType {
		return errors.Newf("frame type %d is unknown", f.Type)
	}
	if f.Method > maxMethod || (f.Type == TypeOpen && f.Method == 0) {
		return errors.Newf("method %d is unknown", f.Method)
	}
	return nil
}

// Checker is a wire type that checks itself once it is decoded.
type Checker interface {
	Check() error
}

const (
	maxNesting  = 16
	maxElements = 1 << 17
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, BinaryMarshaler: cbor.BinaryMarshalerByteString, ShortestFloat: cbor.ShortestFloat16}.UserBufferEncMode()
	if err != nil {
		panic(errors.Wrap(err, "make CBOR encoding"))
	}
	return mode
}

func mustDecoding() cbor.DecMode {
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

// Encode makes CBOR of a wire type.
func Encode[T any](value T) ([]byte, error) {
	data, err := encoding.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", value)
	}
	return data, nil
}

// Decode reads one wire type from CBOR and has it check itself.
func Decode[T Checker](data []byte) (T, error) {
	var value, none T
	if err := decoding.Unmarshal(data, &value); err != nil {
		return none, errors.Wrapf(err, "decode %T", value)
	}
	if err := value.Check(); err != nil {
		return none, errors.Wrapf(err, "check %T", value)
	}
	return value, nil
}

// appendFrame adds the frame's CBOR to a message that is being filled.
func appendFrame(message *bytes.Buffer, f *Frame) error {
	return errors.Wrap(encoding.MarshalToBuffer(f, message), "encode frame")
}

// splitFrames reads the frames of one message in order.
func splitFrames(message []byte, each func(Frame)) error {
	for len(message) > 0 {
		var f Frame
		rest, err := decoding.UnmarshalFirst(message, &f)
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
