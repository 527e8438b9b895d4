package config

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/settings"
)

const (
	maxNameBytes = 128
	maxIDBytes   = 128
)

// InvalidError means that a declaration is not valid. It lists every reason.
type InvalidError struct {
	Name    string
	Reasons []string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("declaration %q is not valid: %s", e.Name, strings.Join(e.Reasons, "; "))
}

// checks collects the reasons why a record is not valid.
type checks struct{ reasons []string }

func (c *checks) require(ok bool, reason string) {
	if !ok {
		c.reasons = append(c.reasons, reason)
	}
}

// Validate checks a record of the stream and returns an *InvalidError if it is not
// valid. The result depends on the record alone, so that all readers agree. The
// content must follow the rules of package settings for declaration files. If a
// rule there becomes stricter, new readers refuse records that old ones accepted.
func Validate(rec *pb.ConfigRecord) error {
	var c checks
	c.require(rec.GetName() != "", "name is missing")
	c.require(len(rec.GetName()) <= maxNameBytes, "name is too long")
	c.require(rec.GetPublishId() != "" && len(rec.GetPublishId()) <= maxIDBytes, "publish_id is missing or too long")
	c.require(rec.GetBase() >= noVersion, "base is below -1")
	if content := rec.GetContent(); content != nil {
		c.require(content.GetName() == rec.GetName(), "name differs from that of the content")
		c.content(rec.GetName(), content)
	}
	if len(c.reasons) > 0 {
		return errors.WithStack(&InvalidError{Name: rec.GetName(), Reasons: c.reasons})
	}
	return nil
}

// content checks a declaration by the rules of package settings.
func (c *checks) content(name string, d *pb.Declaration) {
	err := settings.ValidateDeclaration(name, d)
	var invalid *settings.Error
	switch {
	case err == nil:
	case errors.As(err, &invalid):
		for _, p := range invalid.Problems {
			p.File = ""
			c.reasons = append(c.reasons, strings.TrimPrefix(p.String(), ": "))
		}
	default:
		c.reasons = append(c.reasons, err.Error())
	}
}
