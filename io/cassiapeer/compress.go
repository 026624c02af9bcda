package cassiapeer

import (
	"bytes"
	"compress/gzip"

	"github.com/rotisserie/eris"

	"cassiasaddle/io/cassiabody"
)

// Compress returns content compressed for a frame, at a level of compress/gzip.
func Compress(content []byte, level int) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, level)
	if err == nil {
		_, err = w.Write(content)
	}
	if err == nil {
		err = w.Close()
	}
	return compressed.Bytes(), eris.Wrap(err, "compress the content of a frame")
}

// Decompress returns what Compress compressed, or an error if that is more than a number of bytes.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress the content of a frame; check that both VMs run the same version")
	}
	content, err := cassiabody.ReadAll(r, limit)
	return content, eris.Wrapf(err, "decompress the content of a frame, at most %d bytes; check that both VMs run the same version", limit)
}
