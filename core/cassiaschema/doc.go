// Package cassiaschema holds the messages and settings generated from the schema directory; see schema/generate.sh.
package cassiaschema
