// Package cassiapool sends requests to targets over pooled HTTP/1.1 connections, and reports for each exchange whether the
// target may have run the request.
package cassiapool
