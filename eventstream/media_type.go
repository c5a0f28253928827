package eventstream

import "mime"

// MediaType is the media type of event streams.
const MediaType = "text/event-stream"

// HasMediaType reports whether a value of the Content-Type header is that of an event stream.
func HasMediaType(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == MediaType
}
