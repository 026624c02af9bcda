package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"cassiasaddle/io/cassiahttp"
)

// exitRefused is the exit status for a refused query.
const exitRefused = 2

const queryTimeout = 30 * time.Second

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "send one request to a front and print the answer",
		ArgsUsage: "BODY",
		Description: "BODY is the request's JSON. A front that takes non-idempotent requests gets a new idempotency key\n" +
			"unless --idempotency-key names the one of an earlier try.\n" +
			"Exit status: 0 answered, 1 the VM could not be reached, 2 refused.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "a VM's caller `ADDRESS`", Required: true},
			&cli.StringFlag{Name: "team", Usage: "the front's `TEAM`", Required: true},
			&cli.StringFlag{Name: "front", Usage: "the front's `NAME`", Required: true},
			&cli.StringFlag{Name: "shard-key", Usage: "`KEY` for a front that looks up one shard"},
			&cli.StringFlag{Name: "idempotency-key", Usage: "`UUIDv7` of a non-idempotent request; a new one when left out"},
			&cli.DurationFlag{Name: "timeout", Usage: "shorten the front's deadline to this"},
		},
		Action: runQuery,
	}
}

func runQuery(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return eris.New("expected one argument, the JSON of the request")
	}
	request, err := newQueryRequest(ctx, c)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: queryTimeout}
	reply, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "the VM did not answer; give the caller address of a running VM")
	}
	body, err := io.ReadAll(reply.Body)
	if err = errors.Join(err, reply.Body.Close()); err != nil {
		return eris.Wrap(err, "the answer was cut off; send the request again")
	}
	if _, err := fmt.Fprintln(c.Root().Writer, string(body)); err != nil {
		return err
	}
	if reply.StatusCode != http.StatusOK {
		return cli.Exit("", exitRefused)
	}
	return nil
}

func newQueryRequest(ctx context.Context, c *cli.Command) (*http.Request, error) {
	address := url.URL{
		Scheme: "http", Host: c.String("address"),
		Path: "/v1/teams/" + c.String("team") + "/fronts/" + c.String("front") + "/query",
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address.String(), strings.NewReader(c.Args().First()))
	if err != nil {
		return nil, err
	}
	key := c.String("idempotency-key")
	if key == "" {
		generated, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		key = generated.String()
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(cassiahttp.HeaderIdempotencyKey, key)
	if value := c.String("shard-key"); value != "" {
		request.Header.Set(cassiahttp.HeaderShardKey, value)
	}
	if value := c.Duration("timeout"); value > 0 {
		request.Header.Set(cassiahttp.HeaderRequestTimeout, strconv.FormatInt(value.Milliseconds(), 10))
	}
	return request, nil
}
