package cassiatree

import (
	"bytes"
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"cassiasaddle/io/cassiastore"
)

// TestStopIsNoOutage checks that a call that is canceled because the VM stops is not logged as a failure of the store.
func TestStopIsNoOutage(t *testing.T) {
	for cause, logged := range map[error]bool{context.Canceled: false, net.ErrClosed: true} {
		var logOutput bytes.Buffer
		s := &Service{config: Config{Logger: log.NewLogfmtLogger(&logOutput)}}
		s.storeFailed(1, &cassiastore.Error{Kind: cassiastore.Unavailable, Cause: cause})
		qt.Check(t, logOutput.Len() > 0, qt.Equals, logged, qt.Commentf("%v", cause))
	}
}
