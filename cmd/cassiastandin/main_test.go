package main

import (
	"bufio"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEachCommandGetsReadyAndStopsCleanly(t *testing.T) {
	c := qt.New(t)
	binary := filepath.Join(t.TempDir(), "cassiastandin")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	control := freeAddress(c)
	askrift := "../../examples/hrafnsvik/askrift.yaml"
	tests := []struct {
		name, url, body string
		args            []string
	}{
		{"platform", "/v1/vms", "", []string{"platform", "--listen", control}},
		{"targets", "/standin/targets/all/behaviour", `{"lost":true}`, []string{
			"targets", "--settings", askrift, "--behaviours", "../../examples/hrafnsvik/behaviour.json",
			"--behaviour", `{"medianMs":1,"sigma":0}`, "--control", control,
		}},
		{"target", "/standin/targets/askrift-a/log", "", []string{
			"target", "--settings", askrift, "--name", "askrift-a", "--control", control,
		}},
		{"relay", "/standin/relays/all/faults", `{"faults":{"cut":true}}`, []string{
			"relay", "--link", "udp/" + freeAddress(c) + "/127.0.0.1:9", "--control", control,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			process := exec.Command(binary, test.args...)
			out, err := process.StdoutPipe()
			c.Assert(err, qt.IsNil)
			c.Assert(process.Start(), qt.IsNil)
			defer func() { _ = process.Process.Kill() }()
			line, err := bufio.NewReader(out).ReadString('\n')
			c.Assert(err, qt.IsNil)
			c.Assert(line, qt.Equals, "ready\n")
			c.Assert(status(c, "http://"+control+test.url, test.body) < 300, qt.IsTrue)
			c.Assert(process.Process.Signal(syscall.SIGTERM), qt.IsNil)
			c.Assert(process.Wait(), qt.IsNil)
		})
	}
}

func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// status returns the status code of a GET request, or of a POST request if a body is given.
func status(c *qt.C, url, body string) int {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Close = true
	reply, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Body.Close(), qt.IsNil)
	return reply.StatusCode
}
