// Package cassiacatalog holds one version of the operators' routes and services and finds the route for a request.
package cassiacatalog
