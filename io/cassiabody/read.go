package cassiabody

import "io"

// ReadAll reads a body of up to limit bytes; it returns ErrTooLong for a longer one, and never a part of it.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, ErrTooLong
	}
	return content, nil
}
