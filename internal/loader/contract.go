package loader

import (
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
)

// ContractFile is a contract with the revision that it was read at, as
// operators edit and apply it.
type ContractFile struct {
	// Revision of the contract that the file was made from; 0 for a new one.
	Revision int64    `json:"revision" validate:"min=0" allow:"the revision that the contract was read at, 0 for a new contract"`
	Contract Contract `json:"contract" allow:"an object"`
}

// ParseContract reads a contract file; path names it in problems. The
// contract is usable only without problems.
func ParseContract(path string, data []byte) (ContractFile, Problems) {
	var file ContractFile
	doc := parse(path, data, &file)
	if !doc.broken {
		doc.validate(&file)
	}
	return file, doc.problems.sorted()
}

// CheckContract returns an error that names every member of a contract that is
// out of bounds.
func CheckContract(c Contract) error {
	doc := newDocument("", nil, &c)
	faults, _ := rules().Struct(&c).(validator.ValidationErrors)
	if len(faults) == 0 {
		return nil
	}
	texts := make([]string, 0, len(faults))
	for _, fault := range faults {
		path := fault.Namespace()
		texts = append(texts, fmt.Sprintf("%s is missing or out of bounds, allowed: %s", doc.shown(path), doc.allowedAt(path)))
	}
	return fmt.Errorf("loader: contract: %s", strings.Join(texts, "; "))
}
