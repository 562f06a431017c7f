/** Tells other processes that a new revision was accepted. */
export abstract class RevisionPublisher {
	/** Called after each revision that became committed, as soon as this control process knows it. */
	abstract publish(revision: number): void;
}
