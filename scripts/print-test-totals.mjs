// Prints the totals of a Jest result file on one line, for CI.
import { readFileSync } from "node:fs";

const { numPassedTests, numFailedTests } = JSON.parse(readFileSync(process.argv[2], "utf8"));
console.log(`${numPassedTests} passed, ${numFailedTests} failed`);
