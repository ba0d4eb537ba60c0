// Package logfield makes log fields that several parts share.
package logfield
