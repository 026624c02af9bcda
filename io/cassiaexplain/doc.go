// Package cassiaexplain collects the lines about one request from the logs of several VMs of cassiafront.
package cassiaexplain
