package loader

import (
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
)

// ContractFile is the content of a file in which operators edit a contract: the
// contract and the revision at which it was read.
type ContractFile struct {
	// Revision is the revision of the contract that the file was created from; 0
	// for a new contract.
	Revision int64    `json:"revision" validate:"min=0" allow:"the revision that the contract was read at, 0 for a new contract"`
	Contract Contract `json:"contract" allow:"an object"`
}

// ParseContract parses the content of a contract file; path is used in problems
// only. The result is valid only if there are no problems.
func ParseContract(path string, data []byte) (ContractFile, Problems) {
	var file ContractFile
	doc := parse(path, data, &file)
	if !doc.notJSON {
		doc.validate(&file)
	}
	return file, doc.problems.sorted()
}

// CheckContract returns an error that lists every member of the contract that is
// missing or out of bounds, or nil.
func CheckContract(c Contract) error {
	doc := newDocument("", nil, &c)
	violations, _ := structValidator().Struct(&c).(validator.ValidationErrors)
	if len(violations) == 0 {
		return nil
	}
	texts := make([]string, 0, len(violations))
	for _, violation := range violations {
		path := violation.Namespace()
		texts = append(texts, fmt.Sprintf("%s is missing or out of bounds, allowed: %s", doc.displayPath(path), doc.allowedValues(path)))
	}
	return fmt.Errorf("loader: contract: %s", strings.Join(texts, "; "))
}
