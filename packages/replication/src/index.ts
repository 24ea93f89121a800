export { StoreFailure, storeProblem, stream } from "./record-store";
export type { KeyedRecord, RecordBatch, RecordStore, Stream } from "./record-store";
export { chooseReaderRole, readerRole } from "./store-readers";
export type { ReaderCandidate, ReaderRole } from "./store-readers";
export { createStreamFollower } from "./stream-follower";
export type { StreamFollower } from "./stream-follower";
export { createTargetDirectory } from "./target-directory";
export type { ListedTarget, TargetDirectory } from "./target-directory";
