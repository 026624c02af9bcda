package cassiapeer

import (
	"net/http"

	"cassiasaddle/core/cassiaschema"
)

// EncodeHeader returns an HTTP header as it is sent in frames.
func EncodeHeader(header http.Header) []*cassiaschema.HeaderField {
	var fields []*cassiaschema.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &cassiaschema.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// DecodeHeader returns the HTTP header that was sent in a frame.
func DecodeHeader(fields []*cassiaschema.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[field.GetName()] = append(header[field.GetName()], field.GetValue())
	}
	return header
}
