// Package logfield creates log fields that several packages use.
package logfield
